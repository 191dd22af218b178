package org.banyanstile.server.endpoint;

/**
 * Notices a transfer that sends lines without moving on.
 *
 * @author banyanstile contributors
 */
final class TransferProgress {

	private final long limitNanos;

	private long lastPieces = -1;

	private long lastChange;

	TransferProgress(long now, long limitNanos) {
		this.lastChange = now;
		this.limitNanos = limitNanos;
	}

	void update(long pieces, long now) throws TransferStalledException {
		if (pieces > this.lastPieces) {
			this.lastPieces = pieces;
			this.lastChange = now;
		}
		else if (now - this.lastChange >= this.limitNanos) {
			throw new TransferStalledException("transfer stays at " + pieces + " pieces", null);
		}
	}

}
