package org.banyanstile.core.limit;

import org.banyanstile.core.common.TeamId;

/**
 * Tokens reserved for one request.
 *
 * @param team the team
 * @param tokens the reserved tokens
 * @param granted the part of them that comes from grants and can be returned
 * @param since the time of issue of the oldest grant, on the owner's clock
 * @param ownerToken the owner that issued the grants
 * @author banyanstile contributors
 */
public record Reservation(TeamId team, long tokens, long granted, long since, long ownerToken) {
}
