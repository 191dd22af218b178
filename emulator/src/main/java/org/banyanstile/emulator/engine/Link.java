package org.banyanstile.emulator.engine;

import java.util.concurrent.TimeUnit;

/**
 * Network link that carries KV pieces one after the other at a fixed rate.
 *
 * @author banyanstile contributors
 */
final class Link {

	private final long pieceNanos;

	private long freeAt;

	Link(int piecesPerSecond, long now) {
		this.pieceNanos = TimeUnit.SECONDS.toNanos(1) / piecesPerSecond;
		this.freeAt = now;
	}

	/**
	 * Queues one piece.
	 * @param now the time in nanoseconds
	 * @return nanoseconds until the piece has been transferred
	 */
	synchronized long queue(long now) {
		if (this.freeAt - now < 0) {
			this.freeAt = now;
		}
		this.freeAt += this.pieceNanos;
		return this.freeAt - now;
	}

}
