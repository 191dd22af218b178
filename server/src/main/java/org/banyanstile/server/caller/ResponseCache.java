package org.banyanstile.server.caller;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

import org.banyanstile.core.common.Ticker;
import org.jspecify.annotations.Nullable;

/**
 * Cache of complete responses with bounded size and age, so that a repeated request whose
 * first response was lost gets the same response.
 *
 * @author banyanstile contributors
 */
public final class ResponseCache {

	private final long retentionNanos;

	private final long maxBytes;

	private final Ticker ticker;

	private final Map<StreamKey, Entry> entries = new LinkedHashMap<>();

	private long bytes;

	private ResponseCache(long retentionNanos, long maxBytes, Ticker ticker) {
		this.retentionNanos = retentionNanos;
		this.maxBytes = maxBytes;
		this.ticker = ticker;
	}

	/**
	 * Creates a cache.
	 * @param retention how long a response is kept
	 * @param maxBytes maximum size of all responses in bytes
	 * @param ticker time source
	 * @return the cache
	 */
	public static ResponseCache create(Duration retention, long maxBytes, Ticker ticker) {
		return new ResponseCache(retention.toNanos(), maxBytes, ticker);
	}

	synchronized void put(StreamKey key, CachedResponse response) {
		long size = response.bytes();
		if (size > this.maxBytes) {
			return;
		}
		Entry replaced = this.entries.remove(key);
		if (replaced != null) {
			this.bytes -= replaced.response().bytes();
		}
		this.entries.put(key, new Entry(response, this.ticker.nanos()));
		this.bytes += size;
		evict();
	}

	synchronized @Nullable CachedResponse find(StreamKey key) {
		evict();
		Entry entry = this.entries.get(key);
		return (entry != null) ? entry.response() : null;
	}

	private void evict() {
		long now = this.ticker.nanos();
		Iterator<Entry> oldest = this.entries.values().iterator();
		while (oldest.hasNext()) {
			Entry entry = oldest.next();
			if (this.bytes <= this.maxBytes && now - entry.addedAtNanos() < this.retentionNanos) {
				return;
			}
			this.bytes -= entry.response().bytes();
			oldest.remove();
		}
	}

	/**
	 * A cached response.
	 *
	 * @param response the response
	 * @param addedAtNanos when the response was added
	 * @author banyanstile contributors
	 */
	private record Entry(CachedResponse response, long addedAtNanos) {

	}

}
