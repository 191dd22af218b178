package org.banyanstile.server.caller;

import org.banyanstile.core.common.TeamId;

/**
 * Identity of a request that generates text.
 *
 * @param team the team
 * @param keyHash SHA-256 of the idempotency key, in hexadecimal
 * @author banyanstile contributors
 */
public record StreamKey(TeamId team, String keyHash) {

}
