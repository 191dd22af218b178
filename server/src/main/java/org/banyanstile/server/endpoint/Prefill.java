package org.banyanstile.server.endpoint;

/**
 * Result of a prefill. The engine retains it for less than one second.
 *
 * @param prefillId identifier that the prefill engine assigned to the result
 * @param source address of the prefill engine
 * @param promptTokens number of prompt tokens
 * @author banyanstile contributors
 */
public record Prefill(String prefillId, String source, int promptTokens) {

}
