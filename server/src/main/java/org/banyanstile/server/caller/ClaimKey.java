package org.banyanstile.server.caller;

import org.banyanstile.core.common.TeamId;

/**
 * Identity of a call that must run at most once.
 *
 * @param team the team
 * @param keyHash SHA-256 of the idempotency key, in hexadecimal
 * @param bodyHash SHA-256 of method, path and body, in hexadecimal
 * @author banyanstile contributors
 */
public record ClaimKey(TeamId team, String keyHash, String bodyHash) {

}
