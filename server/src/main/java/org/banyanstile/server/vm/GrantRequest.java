package org.banyanstile.server.vm;

/**
 * Request to the owner of a team for tokens.
 *
 * @param team name of the team
 * @param tokens number of tokens wanted
 * @param returned number of unused tokens returned
 * @author banyanstile contributors
 */
public record GrantRequest(String team, long tokens, long returned) {

}
