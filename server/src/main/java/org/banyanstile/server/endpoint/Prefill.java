package org.banyanstile.server.endpoint;

/**
 * Result of a prefill, retained by the engine for under a second.
 *
 * @param prefillId identifier at the engine that computed it
 * @param source address of that engine
 * @param promptTokens number of prompt tokens
 * @author banyanstile contributors
 */
public record Prefill(String prefillId, String source, int promptTokens) {

}
