package org.banyanstile.core.placement;

/**
 * Decides whether a prompt is prefilled on a separate prefill engine or by the decode
 * engine that will generate its tokens. The latter is for bursts in which the few prefill
 * engines have a queue: a decode engine prefills at half the speed and between the tokens
 * of its other requests, but still completes sooner than a prefill engine that has to
 * process other prompts first. A prefill that would hold back the streams of the decode
 * engine for longer than their callers accept waits for a prefill engine instead, since
 * it would make all of these streams late to speed up one.
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

	/**
	 * Speed of a prefill on a decode engine relative to a prefill engine.
	 */
	static final double DECODE_ENGINE_SPEED = 0.5;

	/**
	 * Share of the longest accepted pause that prefills may take on a decode engine. The
	 * rest is for the usual interval between two events, and for a prefill that another
	 * VM has begun in the meantime.
	 */
	static final double MAX_PAUSE_SHARE = 0.5;

	/**
	 * Longest time until the end of a prefill for which a request waits to spare the
	 * streams of a decode engine, in milliseconds. Half of a usual latency objective; the
	 * other half is for the admission queue, the transfer of the KV cache and the first
	 * event.
	 */
	static final long MAX_WAIT_MILLIS = 450;

	private PrefillPlacement() {
	}

	/**
	 * Returns whether a prompt should be prefilled on a separate engine.
	 * @param prompt the prompt
	 * @param queuedTokens tokens queued at the least loaded prefill engine
	 * @param tokensPerMilli speed of that engine
	 * @param decodeEngine state of the decode engine
	 * @return whether a prefill engine should process it
	 */
	public static boolean usesPrefillEngine(Prompt prompt, long queuedTokens, double tokensPerMilli,
			DecodeEngine decodeEngine) {
		if (queuedTokens <= Math.max(SHORT_QUEUE_TOKENS, MAX_QUEUE_RATIO * prompt.tokens())) {
			return true;
		}
		return queuedTokens + prompt.tokens() <= MAX_WAIT_MILLIS * tokensPerMilli
				&& delaysStreams(prompt, tokensPerMilli, decodeEngine);
	}

	private static boolean delaysStreams(Prompt prompt, double tokensPerMilli, DecodeEngine decodeEngine) {
		if (decodeEngine.streams() == 0 || prompt.maxPauseMillis() <= 0) {
			return false;
		}
		double tokens = prompt.tokens() + decodeEngine.prefillTokens();
		return tokens > MAX_PAUSE_SHARE * prompt.maxPauseMillis() * DECODE_ENGINE_SPEED * tokensPerMilli;
	}

	/**
	 * A prompt.
	 *
	 * @param tokens number of tokens
	 * @param maxPauseMillis longest pause that callers accept between the events of a
	 * stream, 0 for any
	 * @author banyanstile contributors
	 */
	public record Prompt(long tokens, long maxPauseMillis) {

	}

	/**
	 * State of a decode engine.
	 *
	 * @param streams number of other requests at the engine
	 * @param prefillTokens tokens of the prompts that it is prefilling itself
	 * @author banyanstile contributors
	 */
	public record DecodeEngine(int streams, long prefillTokens) {

	}

}
