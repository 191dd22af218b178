package org.banyanstile.core.quarantine;

import java.util.HexFormat;

/**
 * Claim of a VM to be the only one that tries a request with a quarantined trait. VMs
 * that have the same evidence make equal claims, of which one is acquired.
 *
 * @param trait hash of the trait
 * @param clearances clearances of the trait
 * @param crashes crashes since the last clearance
 * @param turn number of the turn, from 0 at the end of the pause
 * @param turnNanos time in nanoseconds since the turn began, in which another VM may have
 * made an equal claim
 * @author banyanstile contributors
 */
public record TrialClaim(long trait, int clearances, int crashes, long turn, long turnNanos) {

	/**
	 * Bounds the number of rows. Traits that share a row displace each other's claims.
	 */
	private static final int MAX_ROWS = 1024;

	/**
	 * Returns the key of the row that holds the claim.
	 * @return the key
	 */
	public String row() {
		return Integer.toString((int) Long.remainderUnsigned(this.trait, MAX_ROWS));
	}

	/**
	 * Returns the value of the row.
	 * @return the value
	 */
	public String text() {
		return HexFormat.of().toHexDigits(this.trait) + ' ' + this.clearances + ' ' + this.crashes + ' ' + this.turn;
	}

}
