package org.banyanstile.server.platform;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.function.Predicate;

import org.banyanstile.core.common.Ticker;
import org.banyanstile.core.common.VmId;
import org.banyanstile.core.lease.ObservedSlot;
import org.banyanstile.core.lease.SlotRecord;
import org.banyanstile.core.lease.StoreReply;
import org.banyanstile.core.lease.StoreStep;
import org.banyanstile.core.lease.VmCoordinator;
import org.banyanstile.core.membership.Heartbeat;
import org.banyanstile.core.membership.PeerReport;
import org.banyanstile.core.membership.VmState;
import org.banyanstile.core.store.Row;
import org.jspecify.annotations.Nullable;

/**
 * Coordination state of this VM, guarded by one lock. No method blocks on I/O. Safe for
 * use by several threads.
 *
 * @author banyanstile contributors
 */
public final class Coordination {

	private final VmCoordinator coordinator;

	private final Ticker ticker;

	private volatile Predicate<VmId> floorsSuspended = (vm) -> false;

	private long slotsReadAt;

	private boolean slotsRead;

	private long headReadAt;

	private Coordination(VmCoordinator coordinator, Ticker ticker) {
		this.coordinator = coordinator;
		this.ticker = ticker;
	}

	/**
	 * Creates the state.
	 * @param coordinator makes the decisions; must not be used by anything else
	 * @param ticker time source
	 * @return the state
	 */
	public static Coordination create(VmCoordinator coordinator, Ticker ticker) {
		return new Coordination(coordinator, ticker);
	}

	/**
	 * Returns whether this VM may serve now.
	 * @return whether it may
	 */
	public synchronized boolean isServing() {
		return this.coordinator.serving(this.ticker.nanos());
	}

	/**
	 * Returns the slot of this VM, with its epoch.
	 * @return the slot, or empty if none is held now
	 */
	public synchronized Optional<SlotRecord> slot() {
		return Optional.ofNullable(this.coordinator.held(this.ticker.nanos()));
	}

	/**
	 * Returns the VMs that count for majorities.
	 * @return the VMs
	 */
	public synchronized Set<VmId> registered() {
		return Set.copyOf(this.coordinator.registered());
	}

	/**
	 * Returns the slots of registered VMs with their addresses and states.
	 * @return the slots in order of their number
	 */
	public synchronized List<SlotRecord> members() {
		Collection<VmId> registered = this.coordinator.registered();
		return this.coordinator.slots()
			.stream()
			.map(ObservedSlot::record)
			.filter((slot) -> slot.isHeld() && registered.contains(slot.vm()))
			.toList();
	}

	/**
	 * Returns the slot rows that show no holder, as last scanned.
	 * @param slotCount number of slots of the fleet
	 * @return numbers of the slots without a row or with a released one
	 */
	public synchronized Set<Integer> freeSlots(int slotCount) {
		Set<Integer> free = new TreeSet<>();
		for (int i = 0; i < slotCount; i++) {
			free.add(i);
		}
		for (ObservedSlot slot : this.coordinator.slots()) {
			if (slot.record().isHeld()) {
				free.remove(slot.record().slot());
			}
		}
		return free;
	}

	/**
	 * Returns when the slot rows were last scanned.
	 * @return time before the scan was sent, or empty before the first scan
	 */
	public synchronized OptionalLong slotsReadAt() {
		return this.slotsRead ? OptionalLong.of(this.slotsReadAt) : OptionalLong.empty();
	}

	/**
	 * Returns when {@link #configHead()} was read.
	 * @return time before the read was sent
	 */
	public synchronized long headReadAt() {
		return this.headReadAt;
	}

	/**
	 * Asks for a scan of the slot rows as the next store call.
	 */
	public synchronized void requestScan() {
		this.coordinator.requestScan(this.ticker.nanos());
	}

	/**
	 * Returns whether the outage rule permits serving now.
	 * @return whether it does
	 */
	public synchronized boolean isOutage() {
		return this.coordinator.outage(this.ticker.nanos());
	}

	/**
	 * Returns whether a slot epoch has ended, as far as the rows show: the slot is
	 * released or has a higher epoch.
	 * @param vm name of the VM that held the epoch
	 * @param slot number of the slot
	 * @param epoch the epoch
	 * @return whether it has ended for certain
	 */
	public synchronized boolean hasEnded(VmId vm, int slot, long epoch) {
		for (ObservedSlot observed : this.coordinator.slots()) {
			SlotRecord row = observed.record();
			if (row.slot() == slot) {
				return row.epoch() > epoch || (row.epoch() == epoch && (!row.isHeld() || !row.vm().equals(vm)));
			}
		}
		return false;
	}

	/**
	 * Returns the owner of a partition as last observed, which may have changed since.
	 * @param partition name of the partition
	 * @return slot of the owner, or empty if none is known
	 */
	public synchronized Optional<SlotRecord> ownerOf(String partition) {
		return Optional.ofNullable(this.coordinator.ownerOf(partition));
	}

	/**
	 * Returns whether this VM owns a partition and may serve now.
	 * @param partition name of the partition
	 * @return whether it does
	 */
	public boolean owns(String partition) {
		return fencingToken(partition) > 0;
	}

	/**
	 * Returns this VM's fencing token for a partition.
	 * @param partition name of the partition
	 * @return the token, or 0 if this VM does not own the partition now
	 */
	public synchronized long fencingToken(String partition) {
		return this.coordinator.tokenOf(partition, this.ticker.nanos());
	}

	/**
	 * Returns the partitions that this VM owns now. A token that differs from an earlier
	 * one means that the partition was acquired anew.
	 * @return fencing token of each partition
	 */
	public synchronized Map<String, Long> owned() {
		return this.coordinator.owned(this.ticker.nanos());
	}

	/**
	 * Returns the recent heartbeats of other VMs.
	 * @return the reports
	 */
	public synchronized List<PeerReport> reports() {
		return this.coordinator.reports(this.ticker.nanos());
	}

	/**
	 * Returns the row {@code config/head} as last read.
	 * @return the row, or empty
	 */
	public synchronized Optional<Row> configHead() {
		return Optional.ofNullable(this.coordinator.headPoll().head());
	}

	/**
	 * Returns the time since the last store contact.
	 * @return the time in milliseconds, an hour if there was none
	 */
	public synchronized long storeAgeMillis() {
		return this.coordinator.storeAgeMillis(this.ticker.nanos());
	}

	/**
	 * Sets the partitions that must have an owner.
	 * @param names names of the partitions
	 */
	public synchronized void setPartitions(Collection<String> names) {
		this.coordinator.setPartitions(names);
	}

	/**
	 * Sets the configuration version in force at this VM.
	 * @param version the version
	 */
	public synchronized void setConfigVersion(long version) {
		this.coordinator.setConfigVersion(version);
	}

	/**
	 * Sets the VMs for whose partitions this VM promises not to use its rate floors. The
	 * predicate must not block.
	 * @param suspended the promise by receiver
	 */
	public void setFloorsSuspended(Predicate<VmId> suspended) {
		this.floorsSuspended = suspended;
	}

	/**
	 * Sets the state of this VM: {@code LEAVING} releases its partitions and
	 * {@code RELEASED} its slot.
	 * @param state the state
	 */
	public synchronized void setState(VmState state) {
		this.coordinator.setState(state);
	}

	/**
	 * Returns whether the slot was released.
	 * @return whether nothing remains to be released
	 */
	public synchronized boolean isReleased() {
		return this.coordinator.isReleased();
	}

	/**
	 * Returns the time from one round of heartbeats to the next.
	 * @return the period in nanoseconds
	 */
	public synchronized long heartbeatPeriodNanos() {
		return this.coordinator.heartbeatPeriodNanos(this.ticker.nanos());
	}

	/**
	 * Begins a round of heartbeats.
	 * @return the heartbeat for each receiver
	 */
	public Function<VmId, Heartbeat> beginHeartbeats() {
		Heartbeat round;
		synchronized (this) {
			round = this.coordinator.beginHeartbeats(this.ticker.nanos());
		}
		return (receiver) -> {
			boolean suspended = this.floorsSuspended.test(receiver);
			synchronized (this) {
				return this.coordinator.completeHeartbeat(round, receiver, suspended);
			}
		};
	}

	/**
	 * Records a heartbeat of another VM.
	 * @param heartbeat the heartbeat
	 */
	public synchronized void receive(Heartbeat heartbeat) {
		this.coordinator.receive(heartbeat, this.ticker.nanos());
	}

	synchronized List<ObservedSlot> slotRows() {
		return List.copyOf(this.coordinator.slots());
	}

	synchronized boolean isScanned() {
		return this.coordinator.isScanned();
	}

	synchronized void adopt(List<Row> rows) {
		this.coordinator.adopt(rows, this.ticker.nanos());
	}

	synchronized void setListed(Collection<VmId> vms) {
		this.coordinator.setListed(vms, this.ticker.nanos());
	}

	synchronized void tick() {
		this.coordinator.tick(this.ticker.nanos());
	}

	synchronized @Nullable StoreStep next() {
		return this.coordinator.next(this.ticker.nanos());
	}

	synchronized void complete(StoreStep step, StoreReply reply) {
		if (reply instanceof StoreReply.Rows && step instanceof StoreStep.Scan scan
				&& scan.prefix().equals(SlotRecord.PREFIX)) {
			this.slotsRead = true;
			this.slotsReadAt = scan.sentAt();
		}
		this.coordinator.complete(step, reply, this.ticker.nanos());
	}

	synchronized StoreStep.@Nullable Read nextPoll() {
		return this.coordinator.headPoll().next(this.ticker.nanos());
	}

	synchronized void completePoll(StoreStep.Read step, StoreReply reply) {
		if (reply instanceof StoreReply.Rows) {
			this.headReadAt = step.sentAt();
		}
		this.coordinator.headPoll().complete(step, reply, this.ticker.nanos());
	}

}
