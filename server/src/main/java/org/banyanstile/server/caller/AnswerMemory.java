package org.banyanstile.server.caller;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

import org.banyanstile.core.common.Ticker;
import org.jspecify.annotations.Nullable;

/**
 * Keeps finished answers for a short time in bounded memory, so that a repeat whose first
 * answer was lost on the way gets the same answer.
 *
 * @author banyanstile contributors
 */
public final class AnswerMemory {

	private final long retentionNanos;

	private final long maxBytes;

	private final Ticker ticker;

	private final Map<StreamKey, Entry> entries = new LinkedHashMap<>();

	private long bytes;

	private AnswerMemory(long retentionNanos, long maxBytes, Ticker ticker) {
		this.retentionNanos = retentionNanos;
		this.maxBytes = maxBytes;
		this.ticker = ticker;
	}

	/**
	 * Creates a memory.
	 * @param retention how long an answer is kept
	 * @param maxBytes most bytes of all answers
	 * @param ticker time source
	 * @return the memory
	 */
	public static AnswerMemory create(Duration retention, long maxBytes, Ticker ticker) {
		return new AnswerMemory(retention.toNanos(), maxBytes, ticker);
	}

	synchronized void remember(StreamKey key, RememberedAnswer answer) {
		long size = answer.bytes();
		if (size > this.maxBytes) {
			return;
		}
		Entry old = this.entries.remove(key);
		if (old != null) {
			this.bytes -= old.answer().bytes();
		}
		this.entries.put(key, new Entry(answer, this.ticker.nanos()));
		this.bytes += size;
		evict();
	}

	synchronized @Nullable RememberedAnswer find(StreamKey key) {
		evict();
		Entry entry = this.entries.get(key);
		return (entry != null) ? entry.answer() : null;
	}

	private void evict() {
		long now = this.ticker.nanos();
		Iterator<Entry> oldest = this.entries.values().iterator();
		while (oldest.hasNext()) {
			Entry entry = oldest.next();
			if (this.bytes <= this.maxBytes && now - entry.since() < this.retentionNanos) {
				return;
			}
			this.bytes -= entry.answer().bytes();
			oldest.remove();
		}
	}

	/**
	 * An answer and when it was complete.
	 *
	 * @param answer the answer
	 * @param since time in nanoseconds
	 * @author banyanstile contributors
	 */
	private record Entry(RememberedAnswer answer, long since) {

	}

}
