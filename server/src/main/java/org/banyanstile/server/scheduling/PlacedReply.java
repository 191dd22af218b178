package org.banyanstile.server.scheduling;

import org.jspecify.annotations.Nullable;

/**
 * Reply of a scheduler that has placed a request.
 *
 * @param vm the scheduler
 * @param group the group of engines
 * @param requestId id of the request
 * @param engine id of the decode engine
 * @param prefillEngine id of the prefill engine, {@code null} if the decode engine should
 * prefill the prompt
 * @author banyanstile contributors
 */
record PlacedReply(String vm, EngineGroup group, String requestId, String engine,
		@Nullable String prefillEngine) implements SchedulerReply {

}
