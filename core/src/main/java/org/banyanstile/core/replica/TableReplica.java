package org.banyanstile.core.replica;

import java.util.ArrayList;
import java.util.Arrays;
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
 * <p>
 * Versions are those of {@link StoreVersion}. When the store has returned from a copy, it
 * lacks what was written last until its writers write it again. What was known before
 * stays in force meanwhile: a row that the store lacks until {@link #dropUnconfirmed()},
 * and a removal, or a value that cannot be told to be older, until
 * {@link #applyWithheld()}, unless the row is written in the new era.
 *
 * @author banyanstile contributors
 */
public final class TableReplica {

	/**
	 * Number of removed rows that are retained to pass the removals on to other VMs. A VM
	 * that missed more gets the whole table.
	 */
	static final int MAX_REMOVED = 512;

	private final ValueOrder order;

	private final Map<String, ReplicaRow> rows = new HashMap<>();

	private final Map<String, ReplicaRow> removed = new LinkedHashMap<>();

	/**
	 * Rows of the store that are not in force yet, since they may be older than what was
	 * known before the store returned.
	 */
	private final Map<String, ReplicaRow> withheld = new HashMap<>();

	private long complete = -1;

	/**
	 * Version up to which removals may be missing from {@link #removed}.
	 */
	private long discardedVersion = -1;

	private long storeMillis = -1;

	private TableReplica(ValueOrder order) {
		this.order = order;
	}

	/**
	 * Creates an empty copy of a table whose values do not tell which one is newer.
	 * @return the copy
	 */
	public static TableReplica create() {
		return new TableReplica(ValueOrder.UNKNOWN);
	}

	/**
	 * Creates an empty copy of a table.
	 * @param order order of its values
	 * @return the copy
	 */
	public static TableReplica create(ValueOrder order) {
		return new TableReplica(order);
	}

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
	 * Returns the rows in force.
	 * @return the rows
	 */
	public Collection<ReplicaRow> rows() {
		return this.rows.values();
	}

	/**
	 * Returns the rows as the store holds them, without those that it lacked when it
	 * returned.
	 * @return the rows
	 */
	public List<ReplicaRow> storeRows() {
		List<ReplicaRow> present = new ArrayList<>(this.withheld.values());
		this.rows.values()
			.stream()
			.filter((row) -> !isUnconfirmed(row) && !this.withheld.containsKey(row.key()))
			.forEach(present::add);
		return present;
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
		if (isOtherEra(version)) {
			return beginEra(all, version, millis);
		}
		Map<String, ReplicaRow> fresh = new HashMap<>();
		all.forEach((row) -> fresh.put(row.key(), row));
		for (ReplicaRow old : storeRows()) {
			if (!fresh.containsKey(old.key()) && old.version() <= version) {
				put(new ReplicaRow(old.key(), version, null), changed);
			}
		}
		all.forEach((row) -> put(row, changed));
		if (version > this.complete) {
			// The whole table does not show rows that were added and removed before it
			// was read.
			this.discardedVersion = version;
		}
		advance(version, millis);
		return changed;
	}

	private boolean isOtherEra(long version) {
		return this.complete >= 0 && !StoreVersion.isSameEra(version, this.complete);
	}

	// A row that the store lacked when it returned keeps its version of the earlier era.
	private boolean isUnconfirmed(ReplicaRow row) {
		return this.complete >= 0 && StoreVersion.era(row.version()) < StoreVersion.era(this.complete);
	}

	private Set<String> beginEra(Collection<ReplicaRow> all, long version, long millis) {
		Set<String> changed = new TreeSet<>();
		this.withheld.clear();
		for (ReplicaRow row : all) {
			ReplicaRow known = this.rows.get(row.key());
			if (known != null) {
				beginEra(row, known, changed);
			}
			else if (this.removed.containsKey(row.key())) {
				this.withheld.put(row.key(), row);
			}
			else {
				this.rows.put(row.key(), row);
				changed.add(row.key());
			}
		}
		// Another VM that is still in the earlier era gets the whole table.
		this.discardedVersion = version;
		this.complete = version;
		this.storeMillis = millis;
		return changed;
	}

	private void beginEra(ReplicaRow row, ReplicaRow known, Set<String> changed) {
		if (Arrays.equals(row.value(), known.value())) {
			this.rows.put(row.key(), row);
			return;
		}
		int age = compare(row, known);
		if (age == 0) {
			this.withheld.put(row.key(), row);
		}
		else if (age < 0) {
			this.rows.put(row.key(), new ReplicaRow(row.key(), row.version(), known.value()));
		}
		else {
			this.rows.put(row.key(), row);
			changed.add(row.key());
		}
	}

	private int compare(ReplicaRow row, ReplicaRow other) {
		byte[] value = row.value();
		byte[] otherValue = other.value();
		return (value != null && otherValue != null) ? this.order.compare(row.key(), value, otherValue) : 0;
	}

	/**
	 * Drops the rows that the store lacked when it returned and that were not written
	 * since.
	 * @return the keys that changed
	 */
	public Set<String> dropUnconfirmed() {
		Set<String> changed = new TreeSet<>();
		for (ReplicaRow row : List.copyOf(this.rows.values())) {
			if (isUnconfirmed(row) && !this.withheld.containsKey(row.key())) {
				this.rows.remove(row.key());
				changed.add(row.key());
			}
		}
		return changed;
	}

	/**
	 * Puts the rows into force that may have been older than what was known before the
	 * store returned.
	 * @return the keys that changed
	 */
	public Set<String> applyWithheld() {
		Set<String> changed = new TreeSet<>(this.withheld.keySet());
		this.rows.putAll(this.withheld);
		this.removed.keySet().removeAll(changed);
		this.withheld.clear();
		return changed;
	}

	/**
	 * Applies changes that follow a known version. Changes of another era have no effect,
	 * since only the whole table shows what they follow.
	 * @param changes changed and removed rows
	 * @param after all changes after this version are included
	 * @param version the version up to which they are complete
	 * @param millis the store's time of that version
	 * @return the keys that changed
	 */
	public Set<String> apply(Collection<ReplicaRow> changes, long after, long version, long millis) {
		Set<String> changed = new TreeSet<>();
		if (isOtherEra(version)) {
			return changed;
		}
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
		ReplicaRow held = this.withheld.get(row.key());
		if (held != null && held.version() >= row.version()) {
			return;
		}
		ReplicaRow old = this.rows.get(row.key());
		if (old != null && !isNewer(row, old)) {
			return;
		}
		ReplicaRow removal = this.removed.get(row.key());
		if (removal != null && removal.version() >= row.version()) {
			return;
		}
		this.withheld.remove(row.key());
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

	// A VM that was up before the store returned can hold a newer value under the same
	// version.
	private boolean isNewer(ReplicaRow row, ReplicaRow old) {
		return (row.version() != old.version()) ? row.version() > old.version() : compare(row, old) > 0;
	}

	private void discardOldestRemovals() {
		Iterator<ReplicaRow> oldest = this.removed.values().iterator();
		while (this.removed.size() > MAX_REMOVED && oldest.hasNext()) {
			this.discardedVersion = Math.max(this.discardedVersion, oldest.next().version());
			oldest.remove();
		}
	}

	/**
	 * Returns whether all changes after a version are retained individually, removals
	 * included. None before a read of the whole table are.
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
