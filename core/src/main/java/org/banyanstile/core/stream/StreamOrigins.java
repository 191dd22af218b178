package org.banyanstile.core.stream;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.jspecify.annotations.Nullable;

/**
 * Origins of the streams that a VM has begun or taken up, by the id of the attempt that
 * brought the first event. The origins of streams of services with several versions are
 * to be written to the store, for VMs that their callers come to when this one has
 * failed. Safe for use by several threads.
 *
 * @author banyanstile contributors
 */
public final class StreamOrigins {

	/**
	 * Time for which an origin is kept, longer than the deadline of any request.
	 */
	public static final long LIFETIME_NANOS = TimeUnit.MINUTES.toNanos(1);

	/**
	 * Bounds the memory. At its share of the peak load a VM begins some tens of streams a
	 * second.
	 */
	static final int MAX_ORIGINS = 8192;

	private final Map<String, Entry> entries = new LinkedHashMap<>();

	private StreamOrigins() {
	}

	/**
	 * Creates an empty object.
	 * @return the origins
	 */
	public static StreamOrigins create() {
		return new StreamOrigins();
	}

	/**
	 * Records that a stream begins.
	 * @param attempt id of the attempt
	 * @param origin its origin
	 * @param now the current time in nanoseconds
	 */
	public synchronized void began(String attempt, StreamOrigin origin, long now) {
		this.entries.put(attempt, new Entry(origin, now));
		Iterator<Entry> oldest = this.entries.values().iterator();
		while (this.entries.size() > MAX_ORIGINS && oldest.hasNext()) {
			oldest.next();
			oldest.remove();
		}
	}

	/**
	 * Records an origin that the store holds.
	 * @param attempt id of the attempt
	 * @param origin its origin
	 * @param now the current time in nanoseconds
	 */
	public synchronized void read(String attempt, StreamOrigin origin, long now) {
		Entry entry = new Entry(origin, now);
		// The VM that wrote the row removes it.
		entry.isComplete = true;
		this.entries.putIfAbsent(attempt, entry);
	}

	/**
	 * Records that a stream has been sent to its end, so that no caller takes it up.
	 * @param attempt id of the attempt
	 */
	public synchronized void completed(String attempt) {
		Entry entry = this.entries.get(attempt);
		if (entry != null) {
			entry.isComplete = true;
		}
	}

	/**
	 * Returns the origin of a stream.
	 * @param attempt id of the attempt that brought its first event
	 * @return the origin, or {@code null} if this VM does not know it
	 */
	public synchronized @Nullable StreamOrigin find(String attempt) {
		Entry entry = this.entries.get(attempt);
		return (entry != null) ? entry.origin : null;
	}

	/**
	 * Returns origins that the store lacks.
	 * @param services services with several versions
	 * @param limit largest number of origins
	 * @return the origins by attempt, the oldest first
	 */
	public synchronized Map<String, StreamOrigin> unwritten(Set<String> services, int limit) {
		Map<String, StreamOrigin> unwritten = new LinkedHashMap<>();
		for (Map.Entry<String, Entry> each : this.entries.entrySet()) {
			Entry entry = each.getValue();
			if (unwritten.size() < limit && !entry.isComplete && !entry.isWritten
					&& services.contains(entry.origin.service())) {
				unwritten.put(each.getKey(), entry.origin);
			}
		}
		return unwritten;
	}

	/**
	 * Records that the store holds origins.
	 * @param attempts ids of the attempts
	 */
	public synchronized void written(Set<String> attempts) {
		for (String attempt : attempts) {
			Entry entry = this.entries.get(attempt);
			if (entry != null) {
				entry.isWritten = true;
			}
		}
	}

	/**
	 * Drops origins whose lifetime has ended.
	 * @param limit largest number of origins that the store holds
	 * @param now the current time in nanoseconds
	 * @return ids of the attempts whose origins the store holds and should drop
	 */
	public synchronized List<String> expire(int limit, long now) {
		List<String> expired = new ArrayList<>();
		Iterator<Map.Entry<String, Entry>> each = this.entries.entrySet().iterator();
		while (each.hasNext() && expired.size() < limit) {
			Map.Entry<String, Entry> next = each.next();
			if (now - next.getValue().nanos < LIFETIME_NANOS) {
				break;
			}
			if (next.getValue().isWritten) {
				expired.add(next.getKey());
			}
			each.remove();
		}
		return expired;
	}

	private static final class Entry {

		private final StreamOrigin origin;

		private final long nanos;

		private boolean isComplete;

		private boolean isWritten;

		private Entry(StreamOrigin origin, long nanos) {
			this.origin = origin;
			this.nanos = nanos;
		}

	}

}
