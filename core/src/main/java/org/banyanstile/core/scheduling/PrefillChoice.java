package org.banyanstile.core.scheduling;

import java.util.Collection;

import org.banyanstile.core.catalog.RegisteredEndpoint;
import org.jspecify.annotations.Nullable;

/**
 * Engine that should prefill a prompt: the one that is expected to end first. A request
 * waits while all queues are long, since its memory at the decode engine would be idle
 * until the prefill begins, and a more urgent prompt may come.
 *
 * @param prefillEngine id of the engine, {@code null} if the decode engine prefills
 * @param millis expected time until the end of the prefill
 * @param waitMillis time for which the request should wait until a prefill engine gets
 * another prompt, 0 if it need not wait
 * @author banyanstile contributors
 */
record PrefillChoice(@Nullable String prefillEngine, double millis, double waitMillis) {

	/**
	 * Queue of a prefill engine up to which it gets another prompt, in milliseconds. Long
	 * enough that an engine has a prompt while the end of another is reported.
	 */
	static final double MAX_BACKLOG_MILLIS = 120;

	/**
	 * Time by which a prefill may end later to keep the transfer of the KV cache within a
	 * data centre.
	 */
	static final double REMOTE_MILLIS = 40;

	/**
	 * Speed of a prefill on a decode engine relative to a prefill engine.
	 */
	static final double DECODE_ENGINE_SPEED = 0.5;

	/**
	 * Factor on the time of a prefill on a decode engine, for the delay that it causes to
	 * the other requests of the engine.
	 */
	static final double DECODE_ENGINE_COST = 1.6;

	/**
	 * Share of the longest accepted pause that a prefill may take on a decode engine.
	 */
	static final double MAX_PAUSE_SHARE = 0.5;

	/**
	 * Longest time until the end of a prefill for which a request waits to spare the
	 * streams of a decode engine, in milliseconds.
	 */
	static final double MAX_PREFILL_MILLIS = 450;

	static PrefillChoice choose(WaitingRequest waiting, EngineMemory decodeEngine,
			Collection<RegisteredEndpoint> prefillEngines, PrefillQueues queues, double queueMillis, double slackMillis,
			long now) {
		GenerationRequest request = waiting.request();
		String self = decodeEngine.id();
		double selfMillis = PrefillQueues.FIXED_MILLIS + (request.promptTokens() + queues.queuedTokens(self))
				/ (DECODE_ENGINE_SPEED * queues.tokensPerMilli(self));
		RegisteredEndpoint best = null;
		double bestScore = Double.MAX_VALUE;
		double bestBacklog = 0;
		for (RegisteredEndpoint engine : prefillEngines) {
			if (waiting.excludedEngines().contains(engine.id())) {
				continue;
			}
			double backlog = queues.backlogMillis(engine.id(), now);
			double score = backlog + request.promptTokens() / queues.tokensPerMilli(engine.id())
					+ (engine.dataCentre().equals(decodeEngine.dataCentre()) ? 0 : REMOTE_MILLIS);
			if (score < bestScore) {
				best = engine;
				bestScore = score;
				bestBacklog = backlog;
			}
		}
		if (best == null) {
			return new PrefillChoice(null, selfMillis, 0);
		}
		boolean delaysStreams = decodeEngine.streams() > 0 && request.maxPauseMillis() > 0
				&& selfMillis > MAX_PAUSE_SHARE * request.maxPauseMillis();
		double endMillis = Math.max(bestBacklog, queueMillis) + PrefillQueues.FIXED_MILLIS
				+ request.promptTokens() / queues.tokensPerMilli(best.id());
		double usefulMillis = Math.min(MAX_PREFILL_MILLIS, Math.max(0, slackMillis));
		boolean waitsTooLong = endMillis > usefulMillis && selfMillis < endMillis;
		if ((!delaysStreams && DECODE_ENGINE_COST * selfMillis < endMillis)
				|| (waitsTooLong && queues.queuedTokens(self) == 0)) {
			return new PrefillChoice(null, selfMillis, 0);
		}
		return new PrefillChoice(best.id(), endMillis, Math.max(0, bestBacklog - MAX_BACKLOG_MILLIS));
	}

}
