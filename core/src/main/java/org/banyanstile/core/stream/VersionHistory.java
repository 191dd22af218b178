package org.banyanstile.core.stream;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

/**
 * Software versions that have served in each service, as a VM has seen it or learned from
 * others. If one version only has served since a stream can have begun, the stream is of
 * this version. Safe for use by several threads.
 *
 * @author banyanstile contributors
 */
public final class VersionHistory {

	/**
	 * Time for which a version that has left is remembered, several times as long as a
	 * stream lasts.
	 */
	public static final long MEMORY_NANOS = TimeUnit.MINUTES.toNanos(5);

	/**
	 * Times in nanoseconds at which versions last served, by service and version.
	 */
	private final Map<String, Map<String, Long>> lastServed = new HashMap<>();

	private final Map<String, Set<String>> serving = new HashMap<>();

	private long completeSince;

	private long watchedSince;

	private VersionHistory(long now) {
		this.completeSince = now;
		this.watchedSince = now;
	}

	/**
	 * Creates the history of a VM that starts.
	 * @param now the current time in nanoseconds
	 * @return the history
	 */
	public static VersionHistory create(long now) {
		return new VersionHistory(now);
	}

	/**
	 * Records the versions that serve now.
	 * @param versions versions by service
	 * @param now the current time in nanoseconds
	 */
	public synchronized void update(Map<String, Set<String>> versions, long now) {
		this.serving.forEach((service, known) -> known.forEach((version) -> served(service, version, now)));
		this.serving.clear();
		versions.forEach((service, present) -> this.serving.put(service, Set.copyOf(present)));
		this.lastServed.values().forEach((known) -> known.values().removeIf((at) -> now - at > MEMORY_NANOS));
	}

	private void served(String service, String version, long at) {
		this.lastServed.computeIfAbsent(service, (name) -> new HashMap<>())
			.merge(version, at, (one, other) -> (one - other > 0) ? one : other);
	}

	/**
	 * Records since when this VM has followed the endpoints without a gap. Versions that
	 * joined and left in a gap are not known unless others report them.
	 * @param since the time in nanoseconds at which the latest gap ended
	 */
	public synchronized void watchedSince(long since) {
		if (since - this.watchedSince <= 0) {
			return;
		}
		this.watchedSince = since;
		this.completeSince = (since - this.completeSince > 0) ? since : this.completeSince;
	}

	/**
	 * Merges what another VM, or the store, knows.
	 * @param versions the versions of services that have had several
	 * @param knownMillis for how long these services have been watched
	 * @param now the current time in nanoseconds
	 */
	public synchronized void merge(Collection<ServedVersion> versions, long knownMillis, long now) {
		for (ServedVersion version : versions) {
			served(version.service(), version.version(), now - TimeUnit.MILLISECONDS.toNanos(version.ageMillis()));
		}
		long since = now - TimeUnit.MILLISECONDS.toNanos(knownMillis);
		if (this.completeSince - since > 0) {
			this.completeSince = since;
		}
	}

	/**
	 * Returns the versions that have served in a service.
	 * @param service name of the service
	 * @param nanos length in nanoseconds of the time that counts
	 * @param now the current time in nanoseconds
	 * @return the versions, in order
	 */
	public synchronized Set<String> versions(String service, long nanos, long now) {
		Set<String> versions = new TreeSet<>(this.serving.getOrDefault(service, Set.of()));
		this.lastServed.getOrDefault(service, Map.of()).forEach((version, at) -> {
			if (now - at <= nanos) {
				versions.add(version);
			}
		});
		return versions;
	}

	/**
	 * Returns whether no version that served can have been missed.
	 * @param nanos length in nanoseconds of the time that counts
	 * @param now the current time in nanoseconds
	 * @return whether none can
	 */
	public synchronized boolean isComplete(long nanos, long now) {
		return nanos <= MEMORY_NANOS && now - this.completeSince >= nanos;
	}

	/**
	 * Returns for how long services have been watched.
	 * @param now the current time in nanoseconds
	 * @return the time in milliseconds
	 */
	public synchronized long knownMillis(long now) {
		return TimeUnit.NANOSECONDS.toMillis(now - this.completeSince);
	}

	/**
	 * Returns the versions of the services that have had several.
	 * @param now the current time in nanoseconds
	 * @return the versions
	 */
	public synchronized List<ServedVersion> reports(long now) {
		List<ServedVersion> reports = new ArrayList<>();
		Set<String> services = new TreeSet<>(this.serving.keySet());
		services.addAll(this.lastServed.keySet());
		services.removeIf((service) -> versions(service, MEMORY_NANOS, now).size() < 2);
		for (String service : services) {
			Map<String, Long> ages = new TreeMap<>();
			this.lastServed.getOrDefault(service, Map.of())
				.forEach((version, at) -> ages.put(version, TimeUnit.NANOSECONDS.toMillis(Math.max(0, now - at))));
			this.serving.getOrDefault(service, Set.of()).forEach((version) -> ages.put(version, 0L));
			ages.forEach((version, age) -> reports.add(new ServedVersion(service, version, age)));
		}
		return reports;
	}

}
