package org.banyanstile.core.lease;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

import org.banyanstile.core.common.VmId;
import org.banyanstile.core.membership.Heartbeat;
import org.banyanstile.core.membership.PeerReport;
import org.banyanstile.core.membership.PeerTable;
import org.banyanstile.core.membership.RegisteredVms;
import org.banyanstile.core.membership.ServingGate;
import org.banyanstile.core.membership.StoreQuorum;
import org.banyanstile.core.membership.VmState;
import org.banyanstile.core.store.Row;
import org.banyanstile.core.store.RowCodec;
import org.jspecify.annotations.Nullable;

/**
 * All coordination decisions of one VM. The embedding program executes the store calls
 * that {@link #next} asks for, one at a time, and passes in heartbeats and the VM list.
 * Not safe for use by several threads.
 *
 * @author banyanstile contributors
 */
public final class VmCoordinator {

	private final VmId self;

	private final PeerTable peers;

	private final RegisteredVms registered = new RegisteredVms();

	private final ServingGate gate;

	private final StoreQuorum quorum;

	private final SlotTable slots;

	private final SlotLease lease;

	private final PartitionTable partitions;

	private final ExpiredSlots expired;

	private final StoreSchedule schedule;

	private final HeadPoll poll;

	private Issuer issuer = Issuer.SCAN;

	private boolean scanned;

	private VmCoordinator(SlotRecord template, int slotCount, RowCodec codec, RandomGenerator random) {
		this.self = template.vm();
		this.schedule = new StoreSchedule(random);
		this.peers = PeerTable.create(random.nextLong(1, 1L << 40));
		this.gate = ServingGate.create(this.self, this.peers, this.registered);
		this.quorum = StoreQuorum.create(this.gate);
		this.slots = SlotTable.create(codec);
		this.poll = HeadPoll.create(this.gate, this.slots, random);
		OperationIds ids = OperationIds.create(this.self, random);
		this.lease = SlotLease.create(template, slotCount, ids);
		this.partitions = PartitionTable.create(ids);
		this.expired = new ExpiredSlots(this.self, ids);
	}

	/**
	 * Creates the coordinator of a VM.
	 * @param template name and addresses of this VM, which has bound {@code vmAddress}
	 * @param slotCount number of slots of the fleet
	 * @param codec codec of the rows
	 * @param random source of jitter and operation identifiers
	 * @return the coordinator
	 */
	public static VmCoordinator create(SlotRecord template, int slotCount, RowCodec codec, RandomGenerator random) {
		return new VmCoordinator(template, slotCount, codec, random);
	}

	/**
	 * Evaluates all time limits. Call at least four times a second, also while a store
	 * call is in progress.
	 * @param now the current time
	 */
	public void tick(long now) {
		this.quorum.update(now);
		checkLease(now);
	}

	/**
	 * Returns the next store call.
	 * @param now the current time
	 * @return the call, or {@code null} if nothing is due
	 */
	public @Nullable StoreStep next(long now) {
		tick(now);
		if (this.schedule.isPaused(now)) {
			return null;
		}
		boolean permitted = this.quorum.permitsTakeover(now);
		boolean claimable = permitted || this.registered.all().isEmpty();
		StoreStep step = this.scanned ? issue(Issuer.LEASE, this.lease.next(now, this.slots, claimable)) : null;
		if (step == null) {
			step = issue(Issuer.SCAN, this.schedule.scan(now));
		}
		if (step == null) {
			step = issue(Issuer.PARTITIONS, this.partitions.next(now, held(now), this.slots, permitted));
		}
		if (step == null) {
			step = issue(Issuer.EXPIRY, this.expired.next(now, held(now), this.slots, permitted));
		}
		return step;
	}

	private boolean checkLease(long now) {
		return this.lease.check(now, this.lease.needsOutageRule(now) && this.gate.outage(now));
	}

	private @Nullable StoreStep issue(Issuer source, @Nullable StoreStep step) {
		this.issuer = source;
		return step;
	}

	/**
	 * Applies the result of the call that {@link #next} returned last.
	 * @param step the call
	 * @param reply its result
	 * @param now time at which the reply was received
	 */
	public void complete(StoreStep step, StoreReply reply, long now) {
		if (reply instanceof StoreReply.Failed || reply instanceof StoreReply.Unknown) {
			this.schedule.failed(now);
		}
		else {
			this.gate.contacted(step.sentAt());
		}
		if (step instanceof StoreStep.Transact transact) {
			written(transact, reply, now);
		}
		else if (reply instanceof StoreReply.Rows rows) {
			read(step, rows.rows(), now);
		}
		tick(now);
	}

	private void written(StoreStep.Transact step, StoreReply reply, long now) {
		switch (this.issuer) {
			case LEASE -> this.lease.written(step, reply, this.slots, now);
			case PARTITIONS -> this.partitions.written(step, reply, this.slots, now);
			default -> this.expired.written(step, reply, this.slots, now);
		}
		if (this.issuer != Issuer.PARTITIONS) {
			this.registered.setNamed(this.slots.named());
		}
	}

	private void read(StoreStep step, List<Row> rows, long now) {
		switch (this.issuer) {
			case LEASE -> this.lease.readBack(rows, this.slots, now);
			case PARTITIONS -> this.partitions.readBack(rows, this.slots);
			case SCAN -> scanned(((StoreStep.Scan) step).prefix(), rows, now);
			default -> throw new IllegalStateException(this.issuer + " issues no reads");
		}
	}

	private void scanned(String prefix, List<Row> rows, long now) {
		this.schedule.scanned(prefix, now);
		if (prefix.equals(PartitionRecord.PREFIX)) {
			this.partitions.observeAll(rows, this.slots);
			return;
		}
		this.slots.observeAll(rows, now);
		this.registered.setNamed(this.slots.named());
		this.scanned = true;
	}

	/**
	 * Records a heartbeat of another VM.
	 * @param heartbeat the heartbeat
	 * @param now time of receipt
	 */
	public void receive(Heartbeat heartbeat, long now) {
		this.peers.receive(heartbeat, now);
	}

	/**
	 * Returns the time from one round of heartbeats to the next.
	 * @param now the current time
	 * @return the period
	 */
	public long heartbeatPeriodNanos(long now) {
		return this.gate.heartbeatPeriodNanos(now);
	}

	/**
	 * Begins a round of heartbeats.
	 * @param now time before they are sent
	 * @return the heartbeat, without echo and with floors not suspended
	 */
	public Heartbeat beginHeartbeats(long now) {
		SlotRecord held = held(now);
		int slot = (held != null) ? held.slot() : Heartbeat.NO_SLOT;
		long epoch = (held != null) ? held.epoch() : 0;
		return new Heartbeat(this.self, slot, epoch, this.gate.configVersion(), this.gate.storeAgeMillis(now),
				this.lease.state(), false, this.peers.beginRound(now), 0);
	}

	/**
	 * Completes a heartbeat for one receiver.
	 * @param round the result of {@link #beginHeartbeats}
	 * @param receiver the receiver
	 * @param floorsSuspended whether this VM leaves its floors unused for the partitions
	 * of the receiver
	 * @return the heartbeat
	 */
	public Heartbeat completeHeartbeat(Heartbeat round, VmId receiver, boolean floorsSuspended) {
		return new Heartbeat(round.vm(), round.slot(), round.epoch(), round.configVersion(), round.storeAgeMillis(),
				round.state(), floorsSuspended, round.sequence(), this.peers.echoFor(receiver));
	}

	/**
	 * Applies a successful read of the platform's VM list.
	 * @param listed the listed VMs
	 * @param now the current time
	 */
	public void setListed(Collection<VmId> listed, long now) {
		this.registered.setListed(listed, now);
	}

	/**
	 * Adopts slot rows from a peer, for a VM that starts while the store is down. Rows
	 * read from the store take precedence.
	 * @param rows the slot rows
	 * @param now the current time
	 */
	public void adopt(List<Row> rows, long now) {
		if (!this.scanned) {
			rows.forEach((row) -> this.slots.observe(row, now));
			this.registered.setNamed(this.slots.named());
		}
	}

	/**
	 * Sets the partitions that must have an owner.
	 * @param names names of the partitions
	 */
	public void setPartitions(Collection<String> names) {
		this.partitions.setNames(names);
	}

	/**
	 * Sets the configuration version in force at this VM.
	 * @param version the version
	 */
	public void setConfigVersion(long version) {
		this.gate.setConfigVersion(version);
	}

	/**
	 * Sets the state of this VM; {@code LEAVING} releases its partitions and
	 * {@code RELEASED} its slot.
	 * @param state the state
	 */
	public void setState(VmState state) {
		this.lease.setState(state);
	}

	/**
	 * Returns whether the slot was released.
	 * @return whether the release was confirmed or there is nothing to release
	 */
	public boolean isReleased() {
		return this.lease.isReleased();
	}

	/**
	 * Asks for a scan of the slot rows as the next store call.
	 * @param now the current time
	 */
	public void requestScan(long now) {
		this.schedule.requestSlotScan(now);
	}

	/**
	 * Returns whether the outage rule permits serving.
	 * @param now the current time
	 * @return whether it does
	 */
	public boolean outage(long now) {
		return this.gate.outage(now);
	}

	/**
	 * Returns whether this VM may serve.
	 * @param now the current time
	 * @return whether it may
	 */
	public boolean serving(long now) {
		return this.gate.serving(now);
	}

	/**
	 * Returns the slot of this VM.
	 * @param now the current time
	 * @return the slot, or {@code null} if none is held
	 */
	public @Nullable SlotRecord held(long now) {
		return checkLease(now) ? this.lease.held() : null;
	}

	/**
	 * Returns the fencing token of a partition of this VM.
	 * @param partition name of the partition
	 * @param now the current time
	 * @return the token, or 0 if this VM does not own the partition or may not serve
	 */
	public long tokenOf(String partition, long now) {
		return serving(now) ? this.partitions.tokenOf(partition, held(now)) : 0;
	}

	/**
	 * Returns the partitions of this VM.
	 * @param now the current time
	 * @return fencing token of each partition
	 */
	public Map<String, Long> owned(long now) {
		return this.partitions.owned(serving(now) ? held(now) : null);
	}

	/**
	 * Returns the owner of a partition as last observed.
	 * @param partition name of the partition
	 * @return slot of the owner, or {@code null} if none is known
	 */
	public @Nullable SlotRecord ownerOf(String partition) {
		return this.partitions.ownerOf(partition, this.slots);
	}

	/**
	 * Returns the slot rows as last observed.
	 * @return the slots
	 */
	public Collection<ObservedSlot> slots() {
		return this.slots.all();
	}

	/**
	 * Returns whether the slot rows were read from the store at least once.
	 * @return whether they were
	 */
	public boolean isScanned() {
		return this.scanned;
	}

	/**
	 * Returns the VMs that count for majorities.
	 * @return the VMs
	 */
	public Collection<VmId> registered() {
		return this.registered.all();
	}

	/**
	 * Returns the recent heartbeats of other VMs.
	 * @param now the current time
	 * @return the reports
	 */
	public List<PeerReport> reports(long now) {
		return this.peers.recent(now);
	}

	/**
	 * Returns the reads of the configuration head, which are made independently of the
	 * calls of {@link #next}.
	 * @return the reads
	 */
	public HeadPoll headPoll() {
		return this.poll;
	}

	/**
	 * Returns the time since the last store contact.
	 * @param now the current time
	 * @return the time in milliseconds, an hour if there was none
	 */
	public long storeAgeMillis(long now) {
		return this.gate.storeAgeMillis(now);
	}

	/**
	 * Component that issued the store call in progress.
	 */
	private enum Issuer {

		LEASE, PARTITIONS, EXPIRY, SCAN

	}

}
