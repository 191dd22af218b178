package org.banyanstile.core.membership;

/**
 * A heartbeat with the bounds of its age on the receiver's clock.
 *
 * @param heartbeat the heartbeat
 * @param receivedAt time of receipt
 * @param notBefore a time before which the heartbeat was certainly not sent
 * @author banyanstile contributors
 */
public record PeerReport(Heartbeat heartbeat, long receivedAt, long notBefore) {

	/**
	 * Returns whether the heartbeat is recent enough to be evidence.
	 * @param now the current time
	 * @return whether it is
	 */
	public boolean isRecent(long now) {
		return now - this.receivedAt <= PeerTable.MAX_RECEIPT_AGE_NANOS
				&& now - this.notBefore <= PeerTable.MAX_ECHO_AGE_NANOS;
	}

	/**
	 * Returns whether the promise in the heartbeat to leave floors unused is still valid.
	 * Its validity is measured from a time before the heartbeat was sent.
	 * @param now the current time
	 * @param validNanos time for which the promise is valid
	 * @return whether it is
	 */
	public boolean isFloorSuspended(long now, long validNanos) {
		return this.heartbeat.floorsSuspended() && now - this.notBefore < validNanos;
	}

}
