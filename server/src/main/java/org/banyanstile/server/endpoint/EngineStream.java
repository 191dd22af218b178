package org.banyanstile.server.endpoint;

/**
 * Entry in the list of streams of an engine.
 *
 * @param requestId identifier of the request
 * @param holder VM and epoch on whose behalf it runs, as {@code vm/epoch}
 * @param ageMillis time since the stream was created or last resumed
 * @author banyanstile contributors
 */
public record EngineStream(String requestId, String holder, long ageMillis) {

}
