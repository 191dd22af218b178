package org.banyanstile.core.placement;

/**
 * Decides how much of an engine's memory the expected sizes of its requests may fill. For
 * loads above the decode memory: each VM has its own admission queue, so a request that
 * is already late at one VM competes with one that can still be on time at another. Late
 * requests leave some memory free, which goes to those that can use it in time.
 *
 * @author banyanstile contributors
 */
public final class MemoryHeadroom {

	/**
	 * Share of the memory that late requests may fill. The rest holds one request of
	 * usual size.
	 */
	static final double LATE_SHARE = 0.9;

	private MemoryHeadroom() {
	}

	/**
	 * Returns whether a request fits into the memory of an engine.
	 * @param memoryTokens tokens that fit into the memory
	 * @param usedTokens expected size of the requests at the engine
	 * @param tokens expected size of the request
	 * @param late whether the request can no longer meet its objective
	 * @return whether it fits; an engine without requests takes any that its memory holds
	 */
	public static boolean fits(long memoryTokens, long usedTokens, long tokens, boolean late) {
		if (usedTokens == 0) {
			return tokens <= memoryTokens;
		}
		return usedTokens + tokens <= (late ? LATE_SHARE * memoryTokens : memoryTokens);
	}

}
