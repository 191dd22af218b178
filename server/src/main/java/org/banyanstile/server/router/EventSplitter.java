package org.banyanstile.server.router;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

import org.jspecify.annotations.Nullable;

/**
 * Cuts a stream of server-sent events after whole events. Not safe for use by several
 * threads.
 *
 * @author banyanstile contributors
 */
final class EventSplitter {

	private final ByteArrayOutputStream pending = new ByteArrayOutputStream();

	private @Nullable String lastId;

	private @Nullable String partialId;

	private int events;

	private boolean emptyLine = true;

	private boolean inEvent;

	private final ByteArrayOutputStream line = new ByteArrayOutputStream();

	/**
	 * Takes bytes of the stream.
	 * @param bytes the bytes
	 * @return all whole events among what was taken so far
	 */
	ByteBuffer take(ByteBuffer bytes) {
		ByteArrayOutputStream whole = new ByteArrayOutputStream();
		while (bytes.hasRemaining()) {
			byte b = bytes.get();
			this.pending.write(b);
			if (b == '\n') {
				endLine(whole);
			}
			else if (b != '\r') {
				this.emptyLine = false;
				this.line.write(b);
			}
		}
		return ByteBuffer.wrap(whole.toByteArray());
	}

	private void endLine(ByteArrayOutputStream whole) {
		if (!this.emptyLine) {
			this.inEvent = true;
			String text = this.line.toString(StandardCharsets.UTF_8);
			if (text.startsWith("id:")) {
				this.partialId = text.substring(3).strip();
			}
		}
		else {
			if (this.inEvent) {
				this.events++;
			}
			if (this.partialId != null) {
				this.lastId = this.partialId;
				this.partialId = null;
			}
			this.inEvent = false;
			whole.writeBytes(this.pending.toByteArray());
			this.pending.reset();
		}
		this.emptyLine = true;
		this.line.reset();
	}

	/**
	 * Drops the beginning of an event that will not end, because the stream broke.
	 */
	void dropPartial() {
		this.pending.reset();
		this.line.reset();
		this.partialId = null;
		this.emptyLine = true;
		this.inEvent = false;
	}

	/**
	 * Returns what follows the last whole event.
	 * @return the bytes
	 */
	ByteBuffer rest() {
		return ByteBuffer.wrap(this.pending.toByteArray());
	}

	/**
	 * Returns the id of the newest whole event.
	 * @return the id, or {@code null} before the first one
	 */
	@Nullable
	String lastId() {
		return this.lastId;
	}

	/**
	 * Returns the number of whole events.
	 * @return the number
	 */
	int events() {
		return this.events;
	}

}
