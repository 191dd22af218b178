package org.banyanstile.server.vm;

/**
 * Reply to {@link GrantRequest}.
 *
 * @param tokens number of tokens granted
 * @param validMillis time for which they may be spent, measured from before the request
 * was sent
 * @author banyanstile contributors
 */
public record GrantReply(long tokens, long validMillis) {

}
