package org.banyanstile.server.caller;

import org.banyanstile.config.key.AuthenticatedKey;
import org.banyanstile.core.common.TeamId;

/**
 * Team and key on whose behalf a request runs.
 *
 * @param team the team
 * @param key the key, without its secret
 * @author banyanstile contributors
 */
public record Caller(TeamId team, AuthenticatedKey key) {

}
