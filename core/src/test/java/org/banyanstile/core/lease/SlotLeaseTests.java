package org.banyanstile.core.lease;

import java.util.Random;

import org.banyanstile.core.common.DataCentreId;
import org.banyanstile.core.common.VmId;
import org.banyanstile.core.membership.VmState;
import org.banyanstile.core.store.MemoryTableStore;
import org.banyanstile.core.store.MemoryTableStore.Fault;
import org.banyanstile.core.store.TextRowCodec;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;

/**
 * Tests for {@link SlotLease}. Guards against a lease that does not read back a write
 * with an unknown outcome, and against one that is measured from the reply.
 *
 * @author banyanstile contributors
 */
class SlotLeaseTests {

	private static final long SECOND = 1_000_000_000L;

	private final MemoryTableStore store = new MemoryTableStore();

	private final SlotTable slots = SlotTable.create(new TextRowCodec());

	private long processes;

	private final SlotLease lease = lease("vm-1", "a:1");

	private SlotLease lease(String vm, String address) {
		SlotRecord template = new SlotRecord(0, VmId.of(vm), 0, DataCentreId.of("dc"), "c", address, VmState.LIVE, "");
		return SlotLease.create(template, 2, OperationIds.create(VmId.of(vm), new Random(this.processes++)));
	}

	private void drive(SlotLease lease, long sentAt, long receivedAt) {
		StoreStep step = lease.next(sentAt, this.slots, true);
		if (step instanceof StoreStep.Transact transact) {
			lease.written(transact, StoreReply.execute(step, this.store), this.slots, receivedAt);
		}
		else if (step != null && StoreReply.execute(step, this.store) instanceof StoreReply.Rows rows) {
			lease.readBack(rows.rows(), this.slots, receivedAt);
		}
	}

	private void scan(SlotTable table, long now) {
		table.observeAll(this.store.withPrefix(SlotRecord.PREFIX), now);
	}

	@Test
	void slowReplyDoesNotProlongTheLease() {
		drive(this.lease, 0, 14 * SECOND);
		assertThat(this.lease.check(15 * SECOND - 1, false), is(true));
		assertThat(this.lease.check(15 * SECOND, false), is(false));
	}

	@Test
	void replyAfterTheLeaseHasRunOutGivesNoLease() {
		drive(this.lease, 0, 20 * SECOND);
		assertThat(this.lease.check(20 * SECOND, false), is(false));
	}

	@Test
	void pauseBetweenCheckAndActIsSeenAtTheNextCheck() {
		drive(this.lease, 0, 0);
		assertThat(this.lease.check(14 * SECOND, false), is(true));
		assertThat(this.lease.check(17 * SECOND, false), is(false));
		drive(this.lease, 17 * SECOND, 17 * SECOND);
		assertThat(this.lease.check(17 * SECOND, false), is(true));
		assertThat(this.lease.held().epoch(), equalTo(2L));
	}

	@Test
	void lostReplyOfAcquireIsReadBack() {
		this.store.failNext(Fault.LOST_REPLY);
		drive(this.lease, 0, 2 * SECOND);
		assertThat(this.lease.held(), nullValue());
		drive(this.lease, 2 * SECOND, 2 * SECOND);
		assertThat(this.lease.check(2 * SECOND, false), is(true));
		assertThat("measured from the write, not from the read", this.lease.check(15 * SECOND, false), is(false));
		assertThat(this.store.withPrefix(SlotRecord.PREFIX).size(), is(1));
	}

	@Test
	void lostReplyOfRenewIsReadBackWithoutNewEpoch() {
		drive(this.lease, 0, 0);
		this.store.failNext(Fault.LOST_REPLY);
		drive(this.lease, 5 * SECOND, 7 * SECOND);
		drive(this.lease, 7 * SECOND, 7 * SECOND);
		assertThat(this.lease.check(20 * SECOND - 1, false), is(true));
		assertThat(this.lease.held().epoch(), equalTo(1L));
	}

	@Test
	void lateWriteThatOvertakesItsRetryIsRecognized() {
		drive(this.lease, 0, 0);
		this.store.failNext(Fault.DELAYED);
		drive(this.lease, 5 * SECOND, 7 * SECOND);
		drive(this.lease, 7 * SECOND, 7 * SECOND);
		this.store.applyDelayed();
		drive(this.lease, 8 * SECOND, 8 * SECOND);
		assertThat(this.lease.check(20 * SECOND - 1, false), is(true));
		assertThat("the retry conflicted with the late write of 5 s", this.lease.check(20 * SECOND, false), is(false));
	}

	@Test
	void lateAcquireDoesNotGiveASecondSlot() {
		this.store.failNext(Fault.DELAYED);
		drive(this.lease, 0, 2 * SECOND);
		drive(this.lease, 2 * SECOND, 2 * SECOND);
		drive(this.lease, 3 * SECOND, 3 * SECOND);
		this.store.applyDelayed();
		scan(this.slots, 4 * SECOND);
		assertThat(this.slots.all().size(), is(1));
		assertThat(this.lease.check(4 * SECOND, false), is(true));
	}

	@Test
	void releaseEndsTheLeaseBeforeItsOutcomeIsKnown() {
		drive(this.lease, 0, 0);
		this.lease.setState(VmState.RELEASED);
		assertThat(this.lease.check(SECOND, false), is(false));
		this.store.failNext(Fault.LOST_REPLY);
		drive(this.lease, SECOND, 2 * SECOND);
		assertThat(this.lease.isReleased(), is(false));
		drive(this.lease, 2 * SECOND, 2 * SECOND);
		assertThat(this.lease.isReleased(), is(true));
		assertThat(this.lease.next(3 * SECOND, this.slots, true), nullValue());
	}

	@Test
	void releasedSlotIsTakenAtOnceWithTheNextEpoch() {
		drive(this.lease, 0, 0);
		this.lease.setState(VmState.RELEASED);
		drive(this.lease, SECOND, SECOND);
		SlotLease other = lease("vm-3", "b:1");
		drive(other, SECOND, SECOND);
		assertThat(other.check(SECOND, false), is(true));
		assertThat(other.held().epoch(), equalTo((other.held().slot() == 0) ? 1L : 2L));
	}

	@Test
	void takerWaitsForSixteenSecondsOfItsOwnObservation() {
		drive(this.lease, 0, 0);
		SlotTable seen = SlotTable.create(new TextRowCodec());
		scan(seen, 3 * SECOND);
		int slot = this.lease.held().slot();
		scan(seen, 19 * SECOND - 1);
		assertThat(seen.get(slot).isExpired(19 * SECOND - 1), is(false));
		assertThat(seen.get(slot).isExpired(19 * SECOND), is(true));
		drive(this.lease, 14 * SECOND, 14 * SECOND);
		scan(seen, 19 * SECOND);
		assertThat("renewed since", seen.get(slot).isExpired(19 * SECOND), is(false));
	}

	@Test
	void oneOfTwoRacingTakersWins() {
		SlotLease first = lease("vm-1", "a:1");
		SlotLease second = lease("vm-1", "b:1");
		StoreStep.Transact one = (StoreStep.Transact) first.next(0, this.slots, true);
		StoreStep.Transact two = (StoreStep.Transact) second.next(0, this.slots, true);
		assertThat(one.transaction().conditions(), equalTo(two.transaction().conditions()));
		first.written(one, StoreReply.execute(one, this.store), this.slots, 0);
		second.written(two, StoreReply.execute(two, this.store), this.slots, 0);
		assertThat(first.held(), notNullValue());
		assertThat(second.held(), nullValue());
	}

	@Test
	void ownRowIsTakenAtOnceWithTheNextEpochOnlyAtTheSameAddress() {
		drive(this.lease, 0, 0);
		SlotLease restarted = lease("vm-1", "a:1");
		SlotLease moved = lease("vm-1", "b:2");
		assertThat(moved.next(SECOND, this.slots, false), nullValue());
		StoreStep.Transact step = (StoreStep.Transact) restarted.next(SECOND, this.slots, false);
		restarted.written(step, StoreReply.execute(step, this.store), this.slots, SECOND);
		assertThat(restarted.held().epoch(), equalTo(2L));
		this.lease.check(6 * SECOND, false);
		drive(this.lease, 6 * SECOND, 6 * SECOND);
		assertThat("the old process learns that it was replaced", this.lease.held(), nullValue());
	}

	@Test
	void outageRuleKeepsALeaseOnlyWithoutInterruption() {
		drive(this.lease, 0, 0);
		for (long t = 4 * SECOND; t < 60 * SECOND; t += SECOND / 4) {
			assertThat(this.lease.check(t, true), is(true));
		}
		assertThat(this.lease.held().epoch(), equalTo(1L));
		assertThat("a pause of the holder ends it", this.lease.check(62 * SECOND, true), is(false));
	}

	@Test
	void outageRuleDoesNotStartAfterTheLeaseHasRunOut() {
		drive(this.lease, 0, 0);
		this.lease.check(13 * SECOND, false);
		assertThat(this.lease.check(15 * SECOND, true), is(false));
	}

	@Test
	void storeSlowerThanTheLeaseNeverGivesALease() {
		for (long t = 0; t < 200 * SECOND; t += 20 * SECOND) {
			drive(this.lease, t, t + 18 * SECOND);
			assertThat(this.lease.check(t + 18 * SECOND, false), is(false));
		}
		assertThat(this.store.withPrefix(SlotRecord.PREFIX), hasSize(1));
	}

}
