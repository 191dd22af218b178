package org.banyanstile.server.endpoint;

/**
 * A stream as an engine lists it.
 *
 * @param requestId identifier of the request
 * @param holder VM and epoch that hold it, as {@code vm/epoch}
 * @param ageMillis time since it was created or last resumed
 * @author banyanstile contributors
 */
public record EngineStream(String requestId, String holder, long ageMillis) {

}
