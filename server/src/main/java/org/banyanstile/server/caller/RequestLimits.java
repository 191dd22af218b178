package org.banyanstile.server.caller;

/**
 * Bounds on a request.
 *
 * @param maxPromptTokens largest prompt in tokens
 * @param maxOutputTokens largest answer in tokens
 * @param maxBodyBytes largest request body in bytes
 * @author banyanstile contributors
 */
public record RequestLimits(int maxPromptTokens, int maxOutputTokens, int maxBodyBytes) {

}
