package org.banyanstile.core.scheduling;

import org.jspecify.annotations.Nullable;

/**
 * Engines that a request should use.
 *
 * @param requestId id of the request
 * @param vm VM that serves the request
 * @param engine id of the decode engine whose memory is set aside for the request
 * @param prefillEngine id of the engine that should prefill the prompt, {@code null} if
 * the decode engine should do so
 * @author banyanstile contributors
 */
public record EnginePlacement(String requestId, String vm, String engine,
		@Nullable String prefillEngine) implements SchedulingDecision {

}
