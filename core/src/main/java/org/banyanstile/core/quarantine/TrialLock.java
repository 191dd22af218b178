package org.banyanstile.core.quarantine;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Lets only one VM of a fleet try a request that is suspected to crash endpoints. Each
 * trial is claimed by a conditional write to the store, so it does not matter whether VMs
 * agree on who is alive. While the store does not respond there is no trial, nor in a
 * turn in which the store may have lost a claim.
 *
 * @author banyanstile contributors
 */
public final class TrialLock {

	private static final String RELEASED = "released";

	private final TrialRows rows;

	private final StoreEra era;

	private TrialLock(TrialRows rows, StoreEra era) {
		this.rows = rows;
		this.era = era;
	}

	/**
	 * Creates a lock with a store that never returns from a copy.
	 * @param rows rows of the store, shared by all VMs
	 * @return the lock
	 */
	public static TrialLock of(TrialRows rows) {
		return new TrialLock(rows, StoreEra.ONLY);
	}

	/**
	 * Creates a lock.
	 * @param rows rows of the store, shared by all VMs
	 * @param era era of the store
	 * @return the lock
	 */
	public static TrialLock of(TrialRows rows, StoreEra era) {
		return new TrialLock(rows, era);
	}

	/**
	 * Claims trials. After an unknown outcome the claims may hold, and neither this VM
	 * nor another one can repeat them.
	 * @param claims the claims
	 * @return whether this VM may begin all of the trials
	 * @throws IOException if the store did not respond
	 */
	public boolean tryAcquire(List<TrialClaim> claims) throws IOException {
		long knownEra = this.era.number();
		long knownNanos = this.era.knownNanos();
		if (knownEra < 0 || claims.stream().anyMatch((claim) -> claim.turnNanos() >= knownNanos)) {
			return false;
		}
		Map<String, String> wanted = values(claims);
		TrialWrite last = write(wanted, Map.of());
		if (!last.applied() && !holdsAny(last.current(), wanted)) {
			last = write(wanted, versions(last.current()));
		}
		return last.applied() && last.era() == knownEra;
	}

	/**
	 * Gives up claims whose trial ended without a result, so that another VM can try.
	 * @param claims the claims
	 * @throws IOException if the store did not respond
	 */
	public void release(List<TrialClaim> claims) throws IOException {
		Map<String, String> held = values(claims);
		Map<String, String> released = new TreeMap<>(held);
		released.replaceAll((key, claim) -> RELEASED);
		List<TrialRow> current = write(released, Map.of()).current();
		List<TrialRow> ours = current.stream().filter((row) -> row.claim().equals(held.get(row.key()))).toList();
		released.keySet().retainAll(versions(ours).keySet());
		if (!released.isEmpty()) {
			write(released, versions(ours));
		}
	}

	// A map, since claims may share a row.
	private static Map<String, String> values(List<TrialClaim> claims) {
		Map<String, String> values = new TreeMap<>();
		claims.forEach((claim) -> values.put(claim.row(), claim.text()));
		return values;
	}

	private static boolean holdsAny(List<TrialRow> rows, Map<String, String> values) {
		return rows.stream().anyMatch((row) -> row.claim().equals(values.get(row.key())));
	}

	private static Map<String, Long> versions(List<TrialRow> rows) {
		Map<String, Long> versions = new HashMap<>();
		rows.forEach((row) -> versions.put(row.key(), row.version()));
		return versions;
	}

	private TrialWrite write(Map<String, String> values, Map<String, Long> versions) throws IOException {
		List<TrialRow> written = new ArrayList<>();
		values.forEach((key, value) -> written.add(new TrialRow(key, value, versions.getOrDefault(key, 0L))));
		return this.rows.write(written);
	}

}
