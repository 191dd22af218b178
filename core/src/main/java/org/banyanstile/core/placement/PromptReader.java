package org.banyanstile.core.placement;

/**
 * Decides whether a prompt is read apart or by the decode engine that will generate from
 * it. Answers bursts in which the few prefill engines have a queue: a decode engine reads
 * at half the speed and between the tokens of its other requests, which is still sooner
 * than a prefill engine that has to read other prompts first.
 *
 * @author banyanstile contributors
 */
public final class PromptReader {

	/**
	 * Ratio of the tokens that wait at the idlest prefill engine to those of the prompt
	 * up to which the prompt is read apart. At 1 both ways take the same time; the rest
	 * is what reading costs the other requests of the decode engine.
	 */
	static final double QUEUE_RATIO = 2.2;

	/**
	 * Tokens of a queue that is never too long. Reading them takes some 30 ms.
	 */
	static final long SHORT_QUEUE_TOKENS = 1000;

	private PromptReader() {
	}

	/**
	 * Returns whether a prompt should be read apart.
	 * @param promptTokens tokens of the prompt
	 * @param queuedTokens tokens that wait at the idlest prefill engine
	 * @return whether a prefill engine should read it
	 */
	public static boolean isReadApart(long promptTokens, long queuedTokens) {
		return queuedTokens <= Math.max(SHORT_QUEUE_TOKENS, QUEUE_RATIO * promptTokens);
	}

}
