package org.banyanstile.server.router;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

import org.banyanstile.core.stream.EventSequence;
import org.jspecify.annotations.Nullable;

/**
 * Splits a stream of server-sent events so that only complete events whose ids are in
 * sequence are forwarded. Not safe for use by several threads.
 *
 * @author banyanstile contributors
 */
final class EventSplitter {

	/**
	 * Memory of the buffers relative to the size of the incomplete event: two of them
	 * hold it, each at most three times while it grows.
	 */
	static final long BUFFERS = 6;

	private final EventSequence sequence;

	private final ByteArrayOutputStream pending = new ByteArrayOutputStream();

	private @Nullable String lastEventId;

	private @Nullable String partialEventId;

	private int eventCount;

	private boolean emptyLine = true;

	private boolean inEvent;

	private boolean outOfSequence;

	private final ByteArrayOutputStream line = new ByteArrayOutputStream();

	EventSplitter(EventSequence sequence) {
		this.sequence = sequence;
	}

	/**
	 * Appends bytes of the stream.
	 * @param bytes the bytes
	 * @return the events that these bytes complete, up to the first one that is out of
	 * sequence
	 */
	ByteBuffer append(ByteBuffer bytes) {
		ByteArrayOutputStream complete = new ByteArrayOutputStream();
		while (bytes.hasRemaining() && !this.outOfSequence) {
			byte next = bytes.get();
			this.pending.write(next);
			if (next == '\n') {
				endLine(complete);
			}
			else if (next != '\r') {
				this.emptyLine = false;
				this.line.write(next);
			}
		}
		return ByteBuffer.wrap(complete.toByteArray());
	}

	private void endLine(ByteArrayOutputStream complete) {
		if (!this.emptyLine) {
			String text = this.line.toString(StandardCharsets.UTF_8);
			// A line that begins with a colon is a comment.
			this.inEvent |= !text.startsWith(":");
			if (text.startsWith("id:")) {
				this.partialEventId = text.substring(3).strip();
			}
		}
		else {
			if (this.inEvent && !this.sequence.accept(this.partialEventId)) {
				this.outOfSequence = true;
				return;
			}
			if (this.inEvent) {
				this.eventCount++;
			}
			if (this.partialEventId != null) {
				this.lastEventId = this.partialEventId;
				this.partialEventId = null;
			}
			this.inEvent = false;
			complete.writeBytes(this.pending.toByteArray());
			this.pending.reset();
		}
		this.emptyLine = true;
		this.line.reset();
	}

	/**
	 * Returns the size of the incomplete event.
	 * @return the number of bytes after the last complete event
	 */
	int pendingBytes() {
		return this.pending.size();
	}

	/**
	 * Returns whether an event was out of sequence. It was not returned, nor was anything
	 * after it.
	 * @return whether one was
	 */
	boolean isOutOfSequence() {
		return this.outOfSequence;
	}

	/**
	 * Expects the rest of a broken stream from another engine. The beginning of an event
	 * whose rest will not arrive is discarded.
	 */
	void resume() {
		this.sequence.resume();
		this.outOfSequence = false;
		this.pending.reset();
		this.line.reset();
		this.partialEventId = null;
		this.emptyLine = true;
		this.inEvent = false;
	}

	/**
	 * Returns the id of the last complete event.
	 * @return the id, or {@code null} before the first one
	 */
	@Nullable
	String lastEventId() {
		return this.lastEventId;
	}

	/**
	 * Returns the number of complete events.
	 * @return the number
	 */
	int eventCount() {
		return this.eventCount;
	}

}
