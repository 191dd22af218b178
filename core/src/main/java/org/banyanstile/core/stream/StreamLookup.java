package org.banyanstile.core.stream;

/**
 * Result of a lookup at the owner.
 *
 * @author banyanstile contributors
 */
public sealed interface StreamLookup {

	/**
	 * The stream runs.
	 *
	 * @param stream the stream
	 */
	record Found(StreamInfo stream) implements StreamLookup {
	}

	/**
	 * No stream with the key runs; the caller of {@link StreamDirectory#open} has
	 * registered its own.
	 */
	record NotRunning() implements StreamLookup {
	}

	/**
	 * The owner took over and has not yet heard from all VMs.
	 *
	 * @param retryAfterNanos the time after which it answers
	 */
	record NotYetKnown(long retryAfterNanos) implements StreamLookup {
	}

}
