package org.banyanstile.core.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Token limit of one team over all VMs without an owner. Each VM keeps the bucket of the
 * whole fleet: it takes off its own use at once and the use of other VMs as they report
 * it. A VM that does not report is assumed to use an equal share of the rate, which is
 * also what it can use for long if it hears nobody, so the sum stays bounded across a
 * partition. Not safe for use by several threads.
 *
 * @author banyanstile contributors
 */
public final class SharedQuota {

	/**
	 * Time without a report after which use is assumed in a fleet whose VMs hear each
	 * other at least this often. Four rounds of 250 ms between VMs.
	 */
	static final long SILENT_NANOS = 1_000_000_000L;

	/**
	 * Time without a report for each VM of a larger fleet: eight VMs report in a round of
	 * 250 ms, and a tenth more.
	 */
	static final long SILENT_NANOS_PER_VM = 34_375_000L;

	/**
	 * Largest part of the bucket that a small request takes.
	 */
	static final double SMALL_PART = 0.02;

	/**
	 * Part of the bucket that small requests may take in advance.
	 */
	static final double OVERDRAFT = 0.25;

	private static final double NANOS = 1e9;

	private double rate;

	private double burst;

	private double capacity;

	private double level;

	private long at;

	private long used;

	private final Map<String, Peer> peers = new HashMap<>();

	private SharedQuota(double rate, double burst, long now) {
		this.rate = rate;
		this.burst = burst;
		this.capacity = burst;
		this.at = now;
	}

	/**
	 * Creates an empty bucket, since a VM that starts does not know what was used just
	 * before.
	 * @param rate tokens a second of all VMs
	 * @param burst capacity of the bucket in tokens
	 * @param now the current time in nanoseconds
	 * @return the quota
	 */
	public static SharedQuota empty(double rate, double burst, long now) {
		return new SharedQuota(rate, burst, now);
	}

	/**
	 * Changes the limit.
	 * @param newRate tokens a second of all VMs
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
		refill(now);
		double needed = Math.min(tokens, this.capacity) - overdraft(tokens);
		if (this.level + 1e-6 < needed) {
			return Math.max(1, (long) ((needed - this.level) / Math.max(1, this.rate) * NANOS));
		}
		this.level -= tokens;
		this.used += tokens;
		return 0;
	}

	// One large request must not shut out many small ones for the time of its refill.
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
	 * Sets the other VMs of the fleet. One that has not reported yet counts as silent, so
	 * a VM that starts behind a cut holds back the shares of those on the other side.
	 * @param vms names of the other VMs
	 * @param now the current time in nanoseconds
	 */
	public void setPeers(Set<String> vms, long now) {
		refill(now);
		this.peers.keySet().retainAll(vms);
		for (String vm : vms) {
			this.peers.computeIfAbsent(vm, (name) -> Peer.unheard(now - silentNanos(vms.size())));
		}
	}

	/**
	 * Takes the use of another VM into account.
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
		peer.heard = now;
	}

	/**
	 * Returns the time without a report after which the use of a VM is assumed.
	 * @param peers number of other VMs
	 * @return the time in nanoseconds
	 */
	public static long silentNanos(int peers) {
		return Math.max(SILENT_NANOS, SILENT_NANOS_PER_VM * ((peers + 7) / 8 * 8));
	}

	private void refill(long now) {
		long silence = silentNanos(this.peers.size());
		double seconds = Math.max(0, now - this.at) / NANOS;
		double share = this.rate / (this.peers.size() + 1);
		int silentPeers = 0;
		for (Peer peer : this.peers.values()) {
			silentPeers += (now - peer.heard > silence) ? 1 : 0;
			long silentSince = peer.heard + silence;
			double silent = Math.min(Math.max(0, now - silentSince) / NANOS, seconds);
			peer.assumed += silent * share;
			this.level -= silent * share;
		}
		// Each side of a partition keeps its part of the bucket, so that the sides do not
		// spend it twice.
		this.capacity = this.burst * (this.peers.size() + 1 - silentPeers) / (this.peers.size() + 1);
		this.level = Math.min(this.capacity, this.level + seconds * this.rate);
		this.at = Math.max(this.at, now);
	}

	/**
	 * What is known of another VM.
	 *
	 * @author banyanstile contributors
	 */
	private static final class Peer {

		/**
		 * Incarnation of a VM that has not reported; times of day are positive.
		 */
		private static final long UNHEARD = -1;

		private final long incarnation;

		private long reported;

		private long heard;

		private double assumed;

		private Peer(long incarnation, long reported, long heard) {
			this.incarnation = incarnation;
			this.reported = reported;
			this.heard = heard;
		}

		private static Peer of(long incarnation, long reported) {
			return new Peer(incarnation, reported, 0);
		}

		private static Peer unheard(long heard) {
			return new Peer(UNHEARD, 0, heard);
		}

	}

}
