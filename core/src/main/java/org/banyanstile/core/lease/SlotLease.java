package org.banyanstile.core.lease;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.banyanstile.core.membership.VmState;
import org.banyanstile.core.store.Condition;
import org.banyanstile.core.store.Row;
import org.banyanstile.core.store.Transaction;
import org.banyanstile.core.store.TransactionResult;
import org.jspecify.annotations.Nullable;

/**
 * Lease of the VM slot of this VM. Not safe for use by several threads.
 * <p>
 * The lease is measured from before its last confirmed write was sent. A lease that has
 * ended is never renewed: the slot is acquired again with the next epoch, so that
 * partitions that other VMs may have taken over meanwhile are not assumed to be still
 * owned.
 *
 * @author banyanstile contributors
 */
public final class SlotLease {

	/**
	 * Length of the lease.
	 */
	public static final long LEASE_NANOS = 15_000_000_000L;

	/**
	 * Time between renewals.
	 */
	public static final long RENEW_NANOS = 5_000_000_000L;

	/**
	 * Longest interruption of the outage rule that does not end a lease that depends on
	 * it. It gives the holder time to renew when the store returns, and is part of the
	 * time that other VMs wait before a takeover.
	 */
	public static final long GRACE_NANOS = 1_000_000_000L;

	private static final int MAX_ATTEMPTS = 64;

	private final SlotRecord template;

	private final int slotCount;

	private final OperationIds ids;

	private final Map<String, Attempt> attempts = new LinkedHashMap<>();

	private int target;

	private long targetVersion;

	private boolean outcomeUnknown;

	private @Nullable SlotRecord held;

	private long version;

	private long leaseStart;

	private long outageRuleSeenAt;

	private VmState state = VmState.LIVE;

	private SlotLease(SlotRecord template, int slotCount, OperationIds ids) {
		this.template = template;
		this.slotCount = slotCount;
		this.ids = ids;
	}

	/**
	 * Creates a lease that is not held.
	 * @param template name and addresses of this VM; it has bound {@code vmAddress}
	 * @param slotCount number of slots of the fleet
	 * @param ids identifiers of writes
	 * @return the lease
	 */
	public static SlotLease create(SlotRecord template, int slotCount, OperationIds ids) {
		return new SlotLease(template, slotCount, ids);
	}

	/**
	 * Sets the state to be written. {@code RELEASED} ends the lease before its write is
	 * sent.
	 * @param state the state
	 */
	public void setState(VmState state) {
		this.state = state;
	}

	/**
	 * Returns the state that was set last.
	 * @return the state
	 */
	public VmState state() {
		return this.state;
	}

	/**
	 * Ends the lease if it has expired. Call at least four times a second: a lease that
	 * depends on the outage rule ends if no call has found the rule to hold for
	 * {@link #GRACE_NANOS}.
	 * @param now the current time
	 * @param outage whether the outage rule holds now
	 * @return whether the lease is held
	 */
	public boolean check(long now, boolean outage) {
		if (this.held == null) {
			return false;
		}
		boolean leased = now - this.leaseStart < LEASE_NANOS;
		boolean continued = now - this.outageRuleSeenAt <= GRACE_NANOS;
		if (outage && (leased || continued)) {
			this.outageRuleSeenAt = now;
		}
		if (!leased && !continued) {
			this.held = null;
			this.attempts.clear();
			this.outcomeUnknown = false;
		}
		return this.held != null && this.state != VmState.RELEASED;
	}

	/**
	 * Returns whether the result of {@link #check} depends on the outage rule. The rule
	 * is costly to evaluate, and a lease that is renewed in time never needs it.
	 * @param now the current time
	 * @return whether it does
	 */
	boolean needsOutageRule(long now) {
		return this.held != null && now - this.leaseStart >= LEASE_NANOS - 2 * GRACE_NANOS;
	}

	/**
	 * Returns the slot as last confirmed. Valid only after {@link #check} returned
	 * {@code true} at the same time.
	 * @return the slot, or {@code null} if none is held
	 */
	public @Nullable SlotRecord held() {
		return (this.state != VmState.RELEASED) ? this.held : null;
	}

	/**
	 * Returns whether the release was confirmed or there is nothing to release.
	 * @return whether it is
	 */
	public boolean isReleased() {
		return this.state == VmState.RELEASED && this.held == null && this.attempts.isEmpty();
	}

	/**
	 * Returns the next store call.
	 * @param now the current time
	 * @param slots the slot rows as observed
	 * @param permitted whether slots that are free or expired may be taken
	 * @return the call, or {@code null} if there is nothing to do
	 */
	public @Nullable StoreStep next(long now, SlotTable slots, boolean permitted) {
		if (this.outcomeUnknown) {
			return new StoreStep.Read(List.of(SlotRecord.key(this.target)), now);
		}
		SlotRecord current = this.held;
		if (current != null) {
			boolean due = now - this.leaseStart >= RENEW_NANOS || current.state() != this.state;
			return due ? write(current.next(this.state, this.ids.next()), this.version, now, slots) : null;
		}
		if (this.state == VmState.RELEASED) {
			this.attempts.clear();
			return null;
		}
		return acquire(now, slots, permitted);
	}

	private @Nullable StoreStep acquire(long now, SlotTable slots, boolean permitted) {
		for (ObservedSlot slot : slots.all()) {
			SlotRecord row = slot.record();
			if (row.isHeld() && row.vm().equals(this.template.vm())
					&& row.vmAddress().equals(this.template.vmAddress())) {
				// This process has bound the address in the row, so the process that
				// wrote the row has ended.
				return acquireSlot(slot.record().slot(), slot, now, slots);
			}
		}
		if (!permitted) {
			return null;
		}
		int start = Math.floorMod(this.template.vm().name().hashCode(), this.slotCount);
		for (int i = 0; i < this.slotCount; i++) {
			int slot = (start + i) % this.slotCount;
			ObservedSlot observed = slots.get(slot);
			if (observed == null || !observed.record().isHeld() || observed.isExpired(now)) {
				return acquireSlot(slot, observed, now, slots);
			}
		}
		return null;
	}

	private StoreStep acquireSlot(int slot, @Nullable ObservedSlot observed, long now, SlotTable slots) {
		long epoch = (observed != null) ? observed.record().epoch() + 1 : 1;
		long condition = (observed != null) ? observed.version() : Condition.ABSENT;
		return write(this.template.acquire(slot, epoch, this.state, this.ids.next()), condition, now, slots);
	}

	private StoreStep write(SlotRecord row, long condition, long now, SlotTable slots) {
		if (this.target != row.slot() || this.targetVersion != condition || this.attempts.size() >= MAX_ATTEMPTS) {
			this.attempts.clear();
		}
		this.target = row.slot();
		this.targetVersion = condition;
		this.attempts.put(row.operationId(), new Attempt(row, now));
		return new StoreStep.Transact(Transaction.put(row.operationId(),
				new Condition(SlotRecord.key(row.slot()), condition), row.encode(slots.codec())), now);
	}

	/**
	 * Applies the result of a transaction that {@link #next} asked for.
	 * @param step the transaction
	 * @param reply its result
	 * @param slots the slot rows as observed, updated by this call
	 * @param now time at which the reply was received
	 */
	public void written(StoreStep.Transact step, StoreReply reply, SlotTable slots, long now) {
		String key = SlotRecord.key(this.target);
		if (reply instanceof StoreReply.Unknown) {
			this.outcomeUnknown = true;
		}
		else if (reply instanceof StoreReply.Failed) {
			this.attempts.remove(step.transaction().operationId());
		}
		else if (reply instanceof StoreReply.Decided decided) {
			if (decided.result() instanceof TransactionResult.Committed committed) {
				Attempt attempt = this.attempts.get(step.transaction().operationId());
				Long written = committed.versions().get(key);
				if (attempt != null && written != null) {
					Row row = new Row(key, written, attempt.row().encode(slots.codec()));
					applyRow(row, slots, now);
				}
			}
			else if (decided.result() instanceof TransactionResult.Conflict conflict) {
				applyRow(find(conflict.current(), key), slots, now);
			}
		}
	}

	/**
	 * Applies the read that resolves an unknown outcome.
	 * @param rows the rows read
	 * @param slots the slot rows as observed, updated by this call
	 * @param now time at which the reply was received
	 */
	public void readBack(List<Row> rows, SlotTable slots, long now) {
		this.outcomeUnknown = false;
		applyRow(find(rows, SlotRecord.key(this.target)), slots, now);
	}

	private void applyRow(@Nullable Row row, SlotTable slots, long now) {
		if (row == null || row.version() == this.targetVersion) {
			// The condition of all attempts still holds, so any of them may still take
			// effect.
			return;
		}
		SlotRecord current = slots.observe(row, now);
		Attempt attempt = this.attempts.get(current.operationId());
		this.attempts.clear();
		if (attempt == null || !current.isHeld()) {
			this.held = null;
			return;
		}
		if (this.held == null) {
			// The outage rule may extend only this lease, not one that ended before.
			this.outageRuleSeenAt = attempt.sentAt();
		}
		this.held = current;
		this.version = row.version();
		this.leaseStart = attempt.sentAt();
	}

	private static @Nullable Row find(List<Row> rows, String key) {
		return rows.stream().filter((row) -> row.key().equals(key)).findFirst().orElse(null);
	}

	/**
	 * A write that may have taken effect.
	 *
	 * @param row the row it writes
	 * @param sentAt time before it was sent
	 * @author banyanstile contributors
	 */
	private record Attempt(SlotRecord row, long sentAt) {

	}

}
