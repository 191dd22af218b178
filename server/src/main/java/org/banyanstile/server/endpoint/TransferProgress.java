package org.banyanstile.server.endpoint;

/**
 * Detects a transfer that sends progress lines while the number of pieces does not grow.
 *
 * @author banyanstile contributors
 */
final class TransferProgress {

	private final long stallTimeoutNanos;

	private long maxPieces = -1;

	private long lastProgressNanos;

	TransferProgress(long nowNanos, long stallTimeoutNanos) {
		this.lastProgressNanos = nowNanos;
		this.stallTimeoutNanos = stallTimeoutNanos;
	}

	void update(long pieces, long nowNanos) throws TransferStalledException {
		if (pieces > this.maxPieces) {
			this.maxPieces = pieces;
			this.lastProgressNanos = nowNanos;
		}
		else if (nowNanos - this.lastProgressNanos >= this.stallTimeoutNanos) {
			throw new TransferStalledException("KV transfer stalled at " + pieces + " pieces", null);
		}
	}

}
