package org.banyanstile.core.stream;

import org.banyanstile.core.common.TeamId;

/**
 * Identity of a request that a caller repeats.
 *
 * @param team the team
 * @param keyHash the hash of the idempotency key
 * @author banyanstile contributors
 */
public record StreamKey(TeamId team, String keyHash) {
}
