package org.banyanstile.core.replica;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import org.jspecify.annotations.Nullable;

/**
 * Copy of a table of the store. Changes come from the store's feed or from other VMs, in
 * any order and more than once; a row is never replaced by an older version. Not safe for
 * use by several threads.
 *
 * @author banyanstile contributors
 */
public final class TableReplica {

	/**
	 * Number of removed rows that are retained to pass the removals on to other VMs. A VM
	 * that missed more gets the whole table.
	 */
	static final int MAX_REMOVED = 512;

	private final Map<String, ReplicaRow> rows = new HashMap<>();

	private final Map<String, ReplicaRow> removed = new LinkedHashMap<>();

	private long complete = -1;

	private long discardedVersion = -1;

	private long storeMillis = -1;

	/**
	 * Returns the version up to which all changes are known.
	 * @return the version, -1 if the table was never read
	 */
	public long complete() {
		return this.complete;
	}

	/**
	 * Returns the time at which the store last confirmed this state.
	 * @return the time in milliseconds of the store's clock, -1 if it has not confirmed
	 * any state
	 */
	public long storeMillis() {
		return this.storeMillis;
	}

	/**
	 * Returns the present rows.
	 * @return the rows
	 */
	public Collection<ReplicaRow> rows() {
		return this.rows.values();
	}

	/**
	 * Returns a present row.
	 * @param key its key
	 * @return the row, or {@code null} if there is none
	 */
	public @Nullable ReplicaRow row(String key) {
		return this.rows.get(key);
	}

	/**
	 * Applies the whole table as of one point in time.
	 * @param all all rows
	 * @param version the store's version at that time
	 * @param millis the store's time at that point, in milliseconds
	 * @return the keys that changed
	 */
	public Set<String> replace(Collection<ReplicaRow> all, long version, long millis) {
		Set<String> changed = new TreeSet<>();
		if (version < this.complete) {
			return changed;
		}
		Map<String, ReplicaRow> fresh = new HashMap<>();
		all.forEach((row) -> fresh.put(row.key(), row));
		for (ReplicaRow old : List.copyOf(this.rows.values())) {
			if (!fresh.containsKey(old.key()) && old.version() <= version) {
				put(new ReplicaRow(old.key(), version, null), changed);
			}
		}
		all.forEach((row) -> put(row, changed));
		advance(version, millis);
		return changed;
	}

	/**
	 * Applies changes that follow a known version.
	 * @param changes changed and removed rows
	 * @param after all changes after this version are included
	 * @param version the version up to which they are complete
	 * @param millis the store's time of that version
	 * @return the keys that changed
	 */
	public Set<String> apply(Collection<ReplicaRow> changes, long after, long version, long millis) {
		Set<String> changed = new TreeSet<>();
		changes.forEach((row) -> put(row, changed));
		if (after <= this.complete) {
			advance(version, millis);
		}
		return changed;
	}

	private void advance(long version, long millis) {
		this.complete = Math.max(this.complete, version);
		this.storeMillis = Math.max(this.storeMillis, millis);
	}

	private void put(ReplicaRow row, Set<String> changed) {
		ReplicaRow old = this.rows.get(row.key());
		if (old != null && old.version() >= row.version()) {
			return;
		}
		ReplicaRow removal = this.removed.get(row.key());
		if (removal != null && removal.version() >= row.version()) {
			return;
		}
		this.removed.remove(row.key());
		if (row.value() != null) {
			this.rows.put(row.key(), row);
			changed.add(row.key());
			return;
		}
		if (this.rows.remove(row.key()) != null) {
			changed.add(row.key());
		}
		this.removed.put(row.key(), row);
		discardOldestRemovals();
	}

	private void discardOldestRemovals() {
		Iterator<ReplicaRow> oldest = this.removed.values().iterator();
		while (this.removed.size() > MAX_REMOVED && oldest.hasNext()) {
			this.discardedVersion = Math.max(this.discardedVersion, oldest.next().version());
			oldest.remove();
		}
	}

	/**
	 * Returns whether all changes after a version are retained individually.
	 * @param version the version
	 * @return whether they are
	 */
	public boolean retainsChangesAfter(long version) {
		return version >= this.discardedVersion && version >= 0;
	}

	/**
	 * Returns the changes after a version.
	 * @param version a version for which {@link #retainsChangesAfter(long)} returned
	 * {@code true}
	 * @return changed and removed rows
	 */
	public List<ReplicaRow> changesAfter(long version) {
		List<ReplicaRow> changes = new ArrayList<>();
		this.removed.values().stream().filter((row) -> row.version() > version).forEach(changes::add);
		this.rows.values().stream().filter((row) -> row.version() > version).forEach(changes::add);
		return changes;
	}

}
