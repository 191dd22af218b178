package org.banyanstile.core.placement;

/**
 * Decides whether a prompt is prefilled on a separate prefill engine or by the decode
 * engine that will generate its tokens. The latter is for bursts in which the few prefill
 * engines have a queue: a decode engine prefills at half the speed and between the tokens
 * of its other requests, but still completes sooner than a prefill engine that has to
 * process other prompts first.
 *
 * @author banyanstile contributors
 */
public final class PrefillPlacement {

	/**
	 * Ratio of the tokens queued at the least loaded prefill engine to those of the
	 * prompt up to which the prompt is prefilled on that engine. At 1 both ways take the
	 * same time; the excess accounts for the delay that a prefill causes to the other
	 * requests of the decode engine.
	 */
	static final double MAX_QUEUE_RATIO = 2.2;

	/**
	 * Length of a queue that is always accepted. Its prefill takes some 30 ms.
	 */
	static final long SHORT_QUEUE_TOKENS = 1000;

	private PrefillPlacement() {
	}

	/**
	 * Returns whether a prompt should be prefilled on a separate engine.
	 * @param promptTokens tokens of the prompt
	 * @param queuedTokens tokens queued at the least loaded prefill engine
	 * @return whether a prefill engine should process it
	 */
	public static boolean usesPrefillEngine(long promptTokens, long queuedTokens) {
		return queuedTokens <= Math.max(SHORT_QUEUE_TOKENS, MAX_QUEUE_RATIO * promptTokens);
	}

}
