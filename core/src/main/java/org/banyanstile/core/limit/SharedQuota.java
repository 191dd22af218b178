package org.banyanstile.core.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Token limit of one team over all VMs without an owner. Each VM keeps a copy of the
 * bucket of the whole fleet: it subtracts its own use at once and the use of other VMs
 * when they report it. A VM that does not report is assumed to use an equal share of the
 * rate. This is also what that VM can use in the long run if it receives no reports, so
 * the sum stays bounded during a network partition. Not safe for use by several threads.
 *
 * @author banyanstile contributors
 */
public final class SharedQuota {

	/**
	 * Time without a report after which use is assumed, in a fleet small enough that
	 * every VM reports at least this often. Four gossip rounds of 250 ms.
	 */
	static final long MIN_REPORT_TIMEOUT_NANOS = 1_000_000_000L;

	/**
	 * Time without a report that is allowed for each VM of a larger fleet: eight VMs
	 * report in a gossip round of 250 ms, plus a tenth.
	 */
	static final long REPORT_TIMEOUT_NANOS_PER_VM = 34_375_000L;

	/**
	 * Largest size of a small request, as a part of the bucket.
	 */
	static final double SMALL_PART = 0.02;

	/**
	 * Part of the bucket by which small requests may overdraw it.
	 */
	static final double OVERDRAFT = 0.25;

	private static final double NANOS = 1e9;

	private double rate;

	private double burst;

	private double capacity;

	private double level;

	private long refilledAt;

	private long used;

	private final Map<String, Peer> peers = new HashMap<>();

	private SharedQuota(double rate, double burst, long now) {
		this.rate = rate;
		this.burst = burst;
		this.capacity = burst;
		this.refilledAt = now;
	}

	/**
	 * Creates an empty bucket, since a VM that starts does not know how many tokens were
	 * used just before.
	 * @param rate tokens per second of all VMs
	 * @param burst capacity of the bucket in tokens
	 * @param now the current time in nanoseconds
	 * @return the quota
	 */
	public static SharedQuota empty(double rate, double burst, long now) {
		return new SharedQuota(rate, burst, now);
	}

	/**
	 * Changes the limit.
	 * @param newRate tokens per second of all VMs
	 * @param newBurst capacity of the bucket in tokens
	 * @param now the current time in nanoseconds
	 */
	public void setLimit(double newRate, double newBurst, long now) {
		refill(now);
		this.rate = newRate;
		this.burst = newBurst;
		this.level = Math.min(this.level, newBurst);
	}

	/**
	 * Takes tokens if there are enough. A request larger than the bucket passes when the
	 * bucket is full.
	 * @param tokens the tokens
	 * @param now the current time in nanoseconds
	 * @return 0 if they were taken, else the time in nanoseconds until there may be
	 * enough
	 */
	public long take(long tokens, long now) {
		long wait = waitNanos(tokens, now);
		if (wait > 0) {
			return wait;
		}
		this.level -= tokens;
		this.used += tokens;
		return 0;
	}

	/**
	 * Returns how long a request would have to wait for tokens, without taking them.
	 * @param tokens the tokens
	 * @param now the current time in nanoseconds
	 * @return 0 if there are enough, else the time in nanoseconds until there may be
	 */
	public long waitNanos(long tokens, long now) {
		refill(now);
		double needed = Math.min(tokens, this.capacity) - overdraft(tokens);
		if (this.level + 1e-6 >= needed) {
			return 0;
		}
		return Math.max(1, (long) ((needed - this.level) / Math.max(1, this.rate) * NANOS));
	}

	// Small requests must not be refused for as long as the refill after a large one
	// takes.
	private double overdraft(long tokens) {
		return (tokens <= SMALL_PART * this.burst) ? OVERDRAFT * this.burst : 0;
	}

	/**
	 * Gives back tokens of a request that no endpoint ran.
	 * @param tokens the tokens
	 */
	public void giveBack(long tokens) {
		this.level = Math.min(this.capacity, this.level + tokens);
		this.used -= tokens;
	}

	/**
	 * Returns the tokens that this VM has used since its start.
	 * @return the tokens
	 */
	public long used() {
		return this.used;
	}

	/**
	 * Sets the other VMs of the fleet. A VM that has not reported yet counts as silent,
	 * so a VM that starts during a network partition leaves the shares of the unreachable
	 * VMs unused.
	 * @param vms names of the other VMs
	 * @param now the current time in nanoseconds
	 */
	public void setPeers(Set<String> vms, long now) {
		refill(now);
		this.peers.keySet().retainAll(vms);
		for (String vm : vms) {
			this.peers.computeIfAbsent(vm, (name) -> Peer.notReported(now - silentNanos(vms.size())));
		}
	}

	/**
	 * Subtracts the use that another VM reports.
	 * @param vm the VM
	 * @param incarnation its incarnation
	 * @param total tokens that it has used since its start
	 * @param now the current time in nanoseconds
	 */
	public void report(String vm, long incarnation, long total, long now) {
		refill(now);
		Peer peer = this.peers.get(vm);
		if (peer == null || peer.incarnation != incarnation) {
			peer = Peer.of(incarnation, total);
			this.peers.put(vm, peer);
		}
		this.level = Math.min(this.burst, this.level - (total - peer.reported) + peer.assumed);
		peer.reported = total;
		peer.assumed = 0;
		peer.reportedAt = now;
	}

	/**
	 * Returns the time without a report after which the use of a VM is assumed.
	 * @param peers number of other VMs
	 * @return the time in nanoseconds
	 */
	public static long silentNanos(int peers) {
		return Math.max(MIN_REPORT_TIMEOUT_NANOS, REPORT_TIMEOUT_NANOS_PER_VM * ((peers + 7) / 8 * 8));
	}

	private void refill(long now) {
		long timeout = silentNanos(this.peers.size());
		double seconds = Math.max(0, now - this.refilledAt) / NANOS;
		double share = this.rate / (this.peers.size() + 1);
		int silentPeers = 0;
		for (Peer peer : this.peers.values()) {
			silentPeers += (now - peer.reportedAt > timeout) ? 1 : 0;
			long silentSince = peer.reportedAt + timeout;
			double silent = Math.min(Math.max(0, now - silentSince) / NANOS, seconds);
			peer.assumed += silent * share;
			this.level -= silent * share;
		}
		// Each side of a network partition uses only its part of the bucket, so that the
		// sides do not spend the same tokens twice.
		this.capacity = this.burst * (this.peers.size() + 1 - silentPeers) / (this.peers.size() + 1);
		this.level = Math.min(this.capacity, this.level + seconds * this.rate);
		this.refilledAt = Math.max(this.refilledAt, now);
	}

	/**
	 * Reported and assumed use of another VM.
	 *
	 * @author banyanstile contributors
	 */
	private static final class Peer {

		/**
		 * Incarnation of a VM that has not reported. Real incarnations are times of day
		 * and positive.
		 */
		private static final long NOT_REPORTED = -1;

		private final long incarnation;

		private long reported;

		private long reportedAt;

		private double assumed;

		private Peer(long incarnation, long reported, long reportedAt) {
			this.incarnation = incarnation;
			this.reported = reported;
			this.reportedAt = reportedAt;
		}

		private static Peer of(long incarnation, long reported) {
			return new Peer(incarnation, reported, 0);
		}

		private static Peer notReported(long reportedAt) {
			return new Peer(NOT_REPORTED, 0, reportedAt);
		}

	}

}
