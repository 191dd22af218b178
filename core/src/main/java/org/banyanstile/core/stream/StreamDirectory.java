package org.banyanstile.core.stream;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.banyanstile.core.common.VmId;
import org.jspecify.annotations.Nullable;

/**
 * Running streams of one partition, kept by the owner of the partition. Safe for use by
 * several threads.
 *
 * @author banyanstile contributors
 */
public final class StreamDirectory {

	/**
	 * Time after a takeover within which VMs announce their streams. They learn of a new
	 * owner by its heartbeat each second.
	 */
	public static final long ANNOUNCE_NANOS = TimeUnit.SECONDS.toNanos(3);

	/**
	 * Time after which a stream that is not announced again is dropped. VMs announce
	 * theirs each 5 s, with the renewal of the slot lease.
	 */
	public static final long ENTRY_NANOS = TimeUnit.SECONDS.toNanos(16);

	private final Object lock = new Object();

	private final Map<StreamKey, Entry> entries = new HashMap<>();

	private final long completeAt;

	private StreamDirectory(long completeAt) {
		this.completeAt = completeAt;
	}

	/**
	 * Creates the directory at the time its partition was taken over.
	 * @param now the current time in nanoseconds
	 * @return the directory
	 */
	public static StreamDirectory takeOver(long now) {
		return new StreamDirectory(now + ANNOUNCE_NANOS);
	}

	/**
	 * Looks a stream up and registers the given one if none runs. Both are one atomic
	 * step, so that two repeated requests at different VMs cannot both start a run.
	 * @param key the identity of the request
	 * @param own the stream to register
	 * @param now the current time in nanoseconds
	 * @return the running stream, or that none ran, or that the owner does not know yet
	 */
	public StreamLookup open(StreamKey key, StreamInfo own, long now) {
		synchronized (this.lock) {
			Entry entry = current(key, now);
			if (entry != null) {
				return new StreamLookup.Found(entry.stream);
			}
			if (now < this.completeAt) {
				return new StreamLookup.NotYetKnown(this.completeAt - now);
			}
			this.entries.put(key, new Entry(own, now + ENTRY_NANOS));
			return new StreamLookup.NotRunning();
		}
	}

	/**
	 * Records a running stream that its holder announces.
	 * @param key the identity of the request
	 * @param stream the stream
	 * @param now the current time in nanoseconds
	 * @return false if another VM took the stream over, so the sender must end it with
	 * {@code superseded}
	 */
	public boolean announce(StreamKey key, StreamInfo stream, long now) {
		synchronized (this.lock) {
			Entry entry = current(key, now);
			if (entry != null && !entry.stream.holder().equals(stream.holder())) {
				return false;
			}
			this.entries.put(key, new Entry(stream, now + ENTRY_NANOS));
			return true;
		}
	}

	/**
	 * Moves a stream to another VM.
	 * @param key the identity of the request
	 * @param requestId the request that the new holder saw in its lookup
	 * @param holder the new holder
	 * @param now the current time in nanoseconds
	 * @return the stream with its previous holder, empty if it no longer runs
	 */
	public Optional<StreamInfo> takeOver(StreamKey key, String requestId, VmId holder, long now) {
		synchronized (this.lock) {
			Entry entry = current(key, now);
			if (entry == null || !entry.stream.requestId().equals(requestId)) {
				return Optional.empty();
			}
			this.entries.put(key,
					new Entry(new StreamInfo(requestId, holder, entry.stream.endpoint()), now + ENTRY_NANOS));
			return Optional.of(entry.stream);
		}
	}

	/**
	 * Removes a stream that ended.
	 * @param key the identity of the request
	 * @param holder the VM that ended it; ignored if another one took it over
	 */
	public void ended(StreamKey key, VmId holder) {
		synchronized (this.lock) {
			Entry entry = this.entries.get(key);
			if (entry != null && entry.stream.holder().equals(holder)) {
				this.entries.remove(key);
			}
		}
	}

	/**
	 * Drops streams that were not announced again.
	 * @param now the current time in nanoseconds
	 */
	public void expire(long now) {
		synchronized (this.lock) {
			this.entries.values().removeIf((entry) -> entry.until <= now);
		}
	}

	/**
	 * Returns the number of streams.
	 * @return the number
	 */
	public int size() {
		synchronized (this.lock) {
			return this.entries.size();
		}
	}

	private @Nullable Entry current(StreamKey key, long now) {
		Entry entry = this.entries.get(key);
		return (entry != null && entry.until > now) ? entry : null;
	}

	private static final class Entry {

		private final StreamInfo stream;

		private final long until;

		private Entry(StreamInfo stream, long until) {
			this.stream = stream;
			this.until = until;
		}

	}

}
