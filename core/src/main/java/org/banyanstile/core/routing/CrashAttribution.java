package org.banyanstile.core.routing;

import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.banyanstile.core.common.TeamId;

/**
 * Finds the request that crashes endpoints. Requests in flight at a crash become
 * suspects. A suspect that runs alone on an endpoint which crashes gets a verdict, by
 * which it is refused. A suspect that completes is cleared. Safe for use by several
 * threads.
 *
 * @author banyanstile contributors
 */
public final class CrashAttribution {

	/**
	 * Time for which a fingerprint remains a suspect, or is refused after a verdict.
	 */
	public static final long VERDICT_NANOS = TimeUnit.MINUTES.toNanos(10);

	/**
	 * Largest size of each of the two tables, so that a caller who varies the body cannot
	 * exhaust memory.
	 */
	private static final int MAX_ENTRIES = 10_000;

	private final Object lock = new Object();

	private final Map<Fingerprint, Long> suspects = new Bounded();

	private final Map<Fingerprint, Long> verdicts = new Bounded();

	/**
	 * Records the crash of an endpoint.
	 * @param inFlight the requests in flight there
	 * @param isolated whether the only request in flight was run alone as a suspect
	 * @param now the current time in nanoseconds
	 * @return the fingerprint that is refused from now on, to be sent to all VMs
	 */
	public Optional<Fingerprint> crashed(Collection<Fingerprint> inFlight, boolean isolated, long now) {
		synchronized (this.lock) {
			if (isolated && inFlight.size() == 1) {
				Fingerprint only = inFlight.iterator().next();
				if (this.suspects.remove(only) != null) {
					this.verdicts.put(only, now + VERDICT_NANOS);
					return Optional.of(only);
				}
			}
			inFlight.forEach((fingerprint) -> this.suspects.put(fingerprint, now + VERDICT_NANOS));
			return Optional.empty();
		}
	}

	/**
	 * Records that a request completed, which clears it.
	 * @param fingerprint the request
	 */
	public void succeeded(Fingerprint fingerprint) {
		synchronized (this.lock) {
			this.suspects.remove(fingerprint);
		}
	}

	/**
	 * Records a verdict of another VM.
	 * @param fingerprint the request
	 * @param expiresNanos the end of the verdict, on the clock of this VM
	 */
	public void verdictReceived(Fingerprint fingerprint, long expiresNanos) {
		synchronized (this.lock) {
			this.suspects.remove(fingerprint);
			this.verdicts.merge(fingerprint, expiresNanos, Math::max);
		}
	}

	/**
	 * Returns whether a request may run only alone on an endpoint.
	 * @param fingerprint the request
	 * @param now the current time in nanoseconds
	 * @return true for a suspect
	 */
	public boolean isSuspect(Fingerprint fingerprint, long now) {
		synchronized (this.lock) {
			return isCurrent(this.suspects, fingerprint, now);
		}
	}

	/**
	 * Returns whether a request is refused.
	 * @param fingerprint the request
	 * @param now the current time in nanoseconds
	 * @return true while a verdict is in force
	 */
	public boolean isRefused(Fingerprint fingerprint, long now) {
		synchronized (this.lock) {
			return isCurrent(this.verdicts, fingerprint, now);
		}
	}

	/**
	 * Returns the verdicts in force, to be sent to a VM that starts.
	 * @param now the current time in nanoseconds
	 * @return the remaining time in nanoseconds by fingerprint
	 */
	public Map<Fingerprint, Long> verdicts(long now) {
		synchronized (this.lock) {
			Map<Fingerprint, Long> remaining = new HashMap<>();
			for (Iterator<Map.Entry<Fingerprint, Long>> entries = this.verdicts.entrySet().iterator(); entries
				.hasNext();) {
				Map.Entry<Fingerprint, Long> entry = entries.next();
				if (entry.getValue() <= now) {
					entries.remove();
				}
				else {
					remaining.put(entry.getKey(), entry.getValue() - now);
				}
			}
			return remaining;
		}
	}

	private static boolean isCurrent(Map<Fingerprint, Long> entries, Fingerprint fingerprint, long now) {
		Long until = entries.get(fingerprint);
		if (until != null && until <= now) {
			entries.remove(fingerprint);
			return false;
		}
		return until != null;
	}

	/**
	 * Identity of a request for the attribution of crashes.
	 *
	 * @param team the team
	 * @param bodyHash the hash of the body
	 */
	public record Fingerprint(TeamId team, String bodyHash) {
	}

	private static final class Bounded extends LinkedHashMap<Fingerprint, Long> {

		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<Fingerprint, Long> eldest) {
			return size() > MAX_ENTRIES;
		}

	}

}
