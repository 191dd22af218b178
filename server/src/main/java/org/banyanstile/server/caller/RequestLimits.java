package org.banyanstile.server.caller;

/**
 * Size limits of a request.
 *
 * @param maxPromptTokens maximum prompt size in tokens
 * @param maxOutputTokens maximum number of generated tokens
 * @param maxBodyBytes maximum size of the request body in bytes
 * @author banyanstile contributors
 */
public record RequestLimits(int maxPromptTokens, int maxOutputTokens, int maxBodyBytes) {

}
