package org.banyanstile.core.stream;

import org.jspecify.annotations.Nullable;

/**
 * Checks that the events of a stream have increasing ids, also when another engine
 * resumes the stream after the last event that was forwarded. Ids may increase by any
 * number, as those of engines that count tokens do, so a gap shows only in a stream whose
 * ids are known to be consecutive. Not safe for use by several threads.
 *
 * @author banyanstile contributors
 */
public final class EventSequence {

	/**
	 * Longest id that is read as a number, so that it fits into a {@code long}.
	 */
	private static final int MAX_DIGITS = 18;

	private static final long NO_NUMBER = -1;

	private long lastId;

	private boolean empty = true;

	private boolean numbered = true;

	// Whether two ids of the stream are known. A single one does not tell by how much ids
	// increase.
	private boolean stepKnown;

	// Whether each id was one greater than the one before, so that a gap shows.
	private boolean consecutive;

	private boolean resuming;

	private EventSequence(long lastId, boolean resuming) {
		this.lastId = lastId;
		this.resuming = resuming;
	}

	/**
	 * Creates the sequence of a stream that begins with its first event.
	 * @return the sequence
	 */
	public static EventSequence create() {
		return new EventSequence(0, false);
	}

	/**
	 * Creates the sequence of a stream whose beginning the caller has already received.
	 * @param lastEventId id of the last event that the caller received, {@code null} if
	 * it has received none
	 * @return the sequence
	 */
	public static EventSequence createAfter(@Nullable String lastEventId) {
		long lastId = number(lastEventId);
		return (lastId != NO_NUMBER) ? new EventSequence(lastId, true) : create();
	}

	private static long number(@Nullable String id) {
		boolean digits = id != null && !id.isEmpty() && id.length() <= MAX_DIGITS
				&& id.chars().allMatch((c) -> c >= '0' && c <= '9');
		return (digits && id != null) ? Long.parseLong(id) : NO_NUMBER;
	}

	/**
	 * Checks the next event.
	 * @param id its id, {@code null} if it has none
	 * @return whether it may be forwarded; only such an event advances the sequence
	 */
	public boolean accept(@Nullable String id) {
		long number = number(id);
		if (this.empty && !this.resuming) {
			this.empty = false;
			this.numbered = number != NO_NUMBER;
			this.lastId = number;
			return true;
		}
		if (!this.numbered) {
			return true;
		}
		boolean next = number == this.lastId + 1;
		if (number <= this.lastId || (this.resuming && this.consecutive && !next)) {
			return false;
		}
		this.empty = false;
		this.resuming = false;
		this.consecutive = next && (this.consecutive || !this.stepKnown);
		this.stepKnown = true;
		this.lastId = number;
		return true;
	}

	/**
	 * Expects the rest of the stream from another engine.
	 */
	public void resume() {
		this.resuming = !this.empty || this.resuming;
	}

	/**
	 * Returns whether another engine can resume the stream: without ids, its position is
	 * unknown.
	 * @return whether it can
	 */
	public boolean isResumable() {
		return this.empty || this.numbered;
	}

}
