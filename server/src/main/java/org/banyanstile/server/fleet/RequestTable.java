package org.banyanstile.server.fleet;

import java.util.LinkedHashMap;
import java.util.Map;

import org.banyanstile.core.common.VmId;
import org.banyanstile.server.caller.StreamKey;
import org.banyanstile.server.caller.StreamLocation;
import org.jspecify.annotations.Nullable;

/**
 * Requests by idempotency key, in the memory of the owner of their partition. Bounded in
 * number; the entry that was not changed for the longest time is evicted first.
 *
 * @author banyanstile contributors
 */
final class RequestTable {

	private static final int MAX_ENTRIES = 100_000;

	private final Map<StreamKey, Entry> entries = new LinkedHashMap<>();

	/**
	 * Records the VM that serves a request, unless the entry has another body.
	 * @param key identity of the request
	 * @param vm the VM
	 * @param bodyHash hash of the body
	 * @return the previous entry, or {@code null}
	 */
	synchronized @Nullable Entry setServingVm(StreamKey key, VmId vm, String bodyHash) {
		Entry previous = this.entries.get(key);
		if (previous == null || previous.bodyHash().equals(bodyHash)) {
			StreamLocation location = (previous != null) ? previous.location() : null;
			put(key, new Entry(vm, bodyHash, location));
		}
		return previous;
	}

	synchronized void announce(StreamKey key, VmId vm, StreamLocation location) {
		Entry entry = this.entries.get(key);
		if (entry == null || entry.vm().equals(vm)) {
			put(key, new Entry(vm, location.bodyHash(), location));
		}
	}

	synchronized void withdraw(StreamKey key, VmId vm) {
		Entry entry = this.entries.get(key);
		if (entry != null && entry.vm().equals(vm)) {
			this.entries.remove(key);
		}
	}

	private void put(StreamKey key, Entry entry) {
		this.entries.remove(key);
		this.entries.put(key, entry);
		if (this.entries.size() > MAX_ENTRIES) {
			this.entries.remove(this.entries.keySet().iterator().next());
		}
	}

	/**
	 * A request.
	 *
	 * @param vm the VM that serves it
	 * @param bodyHash hash of the body
	 * @param location where it runs, or {@code null} before it runs
	 * @author banyanstile contributors
	 */
	record Entry(VmId vm, String bodyHash, @Nullable StreamLocation location) {

	}

}
