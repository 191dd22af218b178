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
 * any order and more than once; a row never goes back to an older version. Not safe for
 * use by several threads.
 *
 * @author banyanstile contributors
 */
public final class TableReplica {

	/**
	 * Removed rows that are remembered, so that other VMs learn of them. A VM that missed
	 * more gets the whole table.
	 */
	static final int MAX_REMOVED = 512;

	private final Map<String, ReplicaRow> rows = new HashMap<>();

	private final Map<String, ReplicaRow> removed = new LinkedHashMap<>();

	private long complete = -1;

	private long forgotten = -1;

	private long storeMillis = -1;

	/**
	 * Returns the version up to which all changes are known.
	 * @return the version, -1 if the table was never read
	 */
	public long complete() {
		return this.complete;
	}

	/**
	 * Returns the store's time at which the store vouched for this state.
	 * @return the time in milliseconds of the store's clock, -1 if it never did
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
	 * Applies the whole table as of one moment.
	 * @param all all rows
	 * @param version the store's version at that moment
	 * @param millis the store's time at that moment
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
	 * @param after all changes after this version are among them
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
		ReplicaRow gone = this.removed.get(row.key());
		if (gone != null && gone.version() >= row.version()) {
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
		forget();
	}

	private void forget() {
		Iterator<ReplicaRow> oldest = this.removed.values().iterator();
		while (this.removed.size() > MAX_REMOVED && oldest.hasNext()) {
			this.forgotten = Math.max(this.forgotten, oldest.next().version());
			oldest.remove();
		}
	}

	/**
	 * Returns whether the changes after a version are still known one by one.
	 * @param version the version
	 * @return whether they are
	 */
	public boolean remembers(long version) {
		return version >= this.forgotten && version >= 0;
	}

	/**
	 * Returns the changes after a version.
	 * @param version a version that is {@linkplain #remembers(long) remembered}
	 * @return changed and removed rows
	 */
	public List<ReplicaRow> changesAfter(long version) {
		List<ReplicaRow> changes = new ArrayList<>();
		this.removed.values().stream().filter((row) -> row.version() > version).forEach(changes::add);
		this.rows.values().stream().filter((row) -> row.version() > version).forEach(changes::add);
		return changes;
	}

}
