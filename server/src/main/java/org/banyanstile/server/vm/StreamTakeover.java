package org.banyanstile.server.vm;

/**
 * Notice to the serving VM that another VM continues its stream.
 *
 * @param requestId identifier of the request
 * @author banyanstile contributors
 */
public record StreamTakeover(String requestId) {

}
