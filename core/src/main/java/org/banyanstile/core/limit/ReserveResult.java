package org.banyanstile.core.limit;

/**
 * Result of a reservation.
 *
 * @author banyanstile contributors
 */
public sealed interface ReserveResult {

	/**
	 * The tokens are reserved.
	 *
	 * @param reservation the reservation, to be settled once
	 */
	record Reserved(Reservation reservation) implements ReserveResult {
	}

	/**
	 * The owner must be asked for a grant first.
	 *
	 * @param partition the partition of the team
	 * @param request the request to its owner
	 */
	record GrantNeeded(int partition, GrantRequest request) implements ReserveResult {
	}

	/**
	 * The team has used its rate and burst.
	 *
	 * @param retryAfterNanos the time after which a retry can succeed
	 */
	record Refused(long retryAfterNanos) implements ReserveResult {
	}

	/**
	 * The request can never succeed, because it is larger than the burst or the team has
	 * no limit.
	 *
	 * @param burstTokens the burst of the team, 0 for an unknown team
	 */
	record RefusedPermanently(double burstTokens) implements ReserveResult {
	}

}
