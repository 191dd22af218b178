package org.banyanstile.server.router;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

import org.jspecify.annotations.Nullable;

/**
 * Splits a stream of server-sent events so that only complete events are forwarded. Not
 * safe for use by several threads.
 *
 * @author banyanstile contributors
 */
final class EventSplitter {

	/**
	 * Memory of the buffers relative to the size of the incomplete event: two of them
	 * hold it, each at most three times while it grows.
	 */
	static final long BUFFERS = 6;

	private final ByteArrayOutputStream pending = new ByteArrayOutputStream();

	private @Nullable String lastEventId;

	private @Nullable String partialEventId;

	private int eventCount;

	private boolean emptyLine = true;

	private boolean inEvent;

	private final ByteArrayOutputStream line = new ByteArrayOutputStream();

	/**
	 * Appends bytes of the stream.
	 * @param bytes the bytes
	 * @return the events that these bytes complete
	 */
	ByteBuffer append(ByteBuffer bytes) {
		ByteArrayOutputStream complete = new ByteArrayOutputStream();
		while (bytes.hasRemaining()) {
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
			this.inEvent = true;
			String text = this.line.toString(StandardCharsets.UTF_8);
			if (text.startsWith("id:")) {
				this.partialEventId = text.substring(3).strip();
			}
		}
		else {
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
	 * Discards the beginning of an event whose rest will not arrive because the stream
	 * broke.
	 */
	void discardPartialEvent() {
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
