package org.banyanstile.server.caller;

import org.banyanstile.core.common.TeamId;

/**
 * Team and key on whose behalf a request runs.
 *
 * @param team the team
 * @param keyId identifier of the key, which is not secret
 * @author banyanstile contributors
 */
public record Caller(TeamId team, String keyId) {

}
