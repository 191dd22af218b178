package org.banyanstile.server.scheduling;

/**
 * Tells a scheduler about a request that it placed or queued.
 *
 * @param vm VM that serves the request
 * @param group the group of engines
 * @param requestId id of the request
 * @param event ordinal of {@link ProgressEvent}
 * @param engine id of the engine, empty if the event has none
 * @param tokens tokens of the prompt if it was prefilled, else 0
 * @param millis time that the prefill or the stream took, else 0
 * @author banyanstile contributors
 */
record ProgressReport(String vm, EngineGroup group, String requestId, int event, String engine, long tokens,
		long millis) {

}
