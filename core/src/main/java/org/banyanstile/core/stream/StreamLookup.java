package org.banyanstile.core.stream;

/**
 * Result of a lookup at the owner of the partition.
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
	 * The owner took over and may not have received the announcements of all VMs yet.
	 *
	 * @param retryAfterNanos the time after which the lookup can be answered
	 */
	record NotYetKnown(long retryAfterNanos) implements StreamLookup {
	}

}
