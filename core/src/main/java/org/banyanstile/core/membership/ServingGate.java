package org.banyanstile.core.membership;

import java.util.Set;

import org.banyanstile.core.common.VmId;
import org.jspecify.annotations.Nullable;

/**
 * Decides whether this VM may serve: it reached the store in the last 4 s, or the outage
 * rule holds, which means that more than half of the registered VMs report that they
 * cannot reach the store either. Not safe for use by several threads.
 *
 * @author banyanstile contributors
 */
public final class ServingGate {

	/**
	 * Time for which one successful store call permits serving.
	 */
	public static final long CONTACT_NANOS = 4_000_000_000L;

	/**
	 * Age of the last store contact from which a VM counts as cut off from the store. The
	 * contacts of two VMs differ by up to a poll period of 1 s when an outage begins, and
	 * heartbeats take time. With 2 s a VM could stop serving briefly before the reports
	 * that satisfy the outage rule arrive.
	 */
	public static final long CUT_OFF_MILLIS = 1500;

	private static final long HEARTBEAT_NANOS = 1_000_000_000L;

	/**
	 * Age of the last store contact that is rarely reached with a healthy store and a
	 * poll each second.
	 */
	private static final long SUSPECT_STORE_MILLIS = 1250;

	private static final long NEVER_MILLIS = 3_600_000L;

	private final VmId self;

	private final PeerTable peers;

	private final RegisteredVms registered;

	private long lastContact;

	private boolean contacted;

	private long configVersion;

	private ServingGate(VmId self, PeerTable peers, RegisteredVms registered) {
		this.self = self;
		this.peers = peers;
		this.registered = registered;
	}

	/**
	 * Creates a gate that does not permit serving before the first store contact.
	 * @param self this VM
	 * @param peers heartbeats of the other VMs
	 * @param registered the registered VMs
	 * @return the gate
	 */
	public static ServingGate create(VmId self, PeerTable peers, RegisteredVms registered) {
		return new ServingGate(self, peers, registered);
	}

	/**
	 * Records a successful store call.
	 * @param sentAt time before the call was sent
	 */
	public void contacted(long sentAt) {
		if (!this.contacted || sentAt - this.lastContact > 0) {
			this.lastContact = sentAt;
			this.contacted = true;
		}
	}

	/**
	 * Sets the configuration version in force at this VM.
	 * @param version the version
	 */
	public void setConfigVersion(long version) {
		this.configVersion = version;
	}

	/**
	 * Returns the configuration version in force at this VM.
	 * @return the version
	 */
	public long configVersion() {
		return this.configVersion;
	}

	/**
	 * Returns the time since the last store contact.
	 * @param now the current time
	 * @return the time in milliseconds, an hour if there was none
	 */
	public long storeAgeMillis(long now) {
		return this.contacted ? Math.max(0, (now - this.lastContact) / 1_000_000) : NEVER_MILLIS;
	}

	/**
	 * Returns the time from one round of heartbeats to the next. Rounds are more frequent
	 * once the store does not respond, so that the reports that satisfy the outage rule
	 * arrive before the last store contact is too old, even when heartbeats are delayed.
	 * @param now the current time
	 * @return the period
	 */
	public long heartbeatPeriodNanos(long now) {
		return (storeAgeMillis(now) < SUSPECT_STORE_MILLIS) ? HEARTBEAT_NANOS : HEARTBEAT_NANOS / 4;
	}

	/**
	 * Returns whether this VM may serve.
	 * @param now the current time
	 * @return whether it may
	 */
	public boolean serving(long now) {
		return (this.contacted && now - this.lastContact < CONTACT_NANOS) || outage(now);
	}

	/**
	 * Returns whether the outage rule permits serving.
	 * @param now the current time
	 * @return whether it does
	 */
	public boolean outage(long now) {
		for (PeerReport report : this.peers.recent(now)) {
			if (report.heartbeat().configVersion() > this.configVersion) {
				return false;
			}
		}
		return majority(now, false);
	}

	/**
	 * Returns whether more than half of the registered VMs report store contact.
	 * @param now the current time
	 * @return whether they do
	 */
	public boolean storeReachedByMajority(long now) {
		return majority(now, true);
	}

	private boolean majority(long now, boolean reached) {
		Set<VmId> vms = this.registered.all();
		int n = 0;
		for (VmId vm : vms) {
			Long age = ageOf(vm, now);
			if (age != null && (age < CUT_OFF_MILLIS) == reached) {
				n++;
			}
		}
		return 2 * n > vms.size();
	}

	private @Nullable Long ageOf(VmId vm, long now) {
		if (vm.equals(this.self)) {
			return storeAgeMillis(now);
		}
		PeerReport report = this.peers.recent(vm, now);
		return (report != null) ? report.heartbeat().storeAgeMillis() : null;
	}

}
