package org.banyanstile.core.lease;

import java.util.List;
import java.util.Random;

import org.banyanstile.core.common.DataCentreId;
import org.banyanstile.core.common.VmId;
import org.banyanstile.core.membership.VmState;
import org.banyanstile.core.store.Condition;
import org.banyanstile.core.store.MemoryTableStore;
import org.banyanstile.core.store.MemoryTableStore.Fault;
import org.banyanstile.core.store.TextRowCodec;
import org.banyanstile.core.store.Transaction;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

/**
 * Tests for {@link PartitionTable} and {@link RendezvousHash}.
 *
 * @author banyanstile contributors
 */
class PartitionTableTests {

	private static final long SECOND = 1_000_000_000L;

	private final MemoryTableStore store = new MemoryTableStore();

	private final SlotTable slots = SlotTable.create(new TextRowCodec());

	private final SlotRecord first = slot(0, "vm-a", "dc-1", VmState.LIVE);

	private final SlotRecord second = slot(1, "vm-b", "dc-2", VmState.LIVE);

	private static SlotRecord slot(int slot, String vm, String dataCentre, VmState state) {
		return new SlotRecord(slot, VmId.of(vm), 1, DataCentreId.of(dataCentre), "c", "v", state, "x");
	}

	private PartitionTable table(String vm, String... names) {
		PartitionTable table = PartitionTable.create(OperationIds.create(VmId.of(vm), new Random(vm.hashCode())));
		table.setNames(List.of(names));
		return table;
	}

	private void put(SlotRecord row, long now) {
		long version = this.store.find(List.of(SlotRecord.key(row.slot())))
			.stream()
			.mapToLong((current) -> current.version())
			.findFirst()
			.orElse(Condition.ABSENT);
		this.store.apply(Transaction.put("p", new Condition(SlotRecord.key(row.slot()), version),
				row.encode(new TextRowCodec())));
		this.slots.observeAll(this.store.withPrefix(SlotRecord.PREFIX), now);
	}

	private boolean drive(PartitionTable table, SlotRecord held, long now) {
		StoreStep step = table.next(now, held, this.slots, true);
		if (step instanceof StoreStep.Transact transact) {
			table.written(transact, StoreReply.execute(step, this.store), this.slots, now);
		}
		else if (step != null && StoreReply.execute(step, this.store) instanceof StoreReply.Rows rows) {
			table.readBack(rows.rows(), this.slots);
		}
		return step != null;
	}

	@Test
	void releaseWithUnknownOutcomeIsNeverOwnedAgainWithTheSameToken() {
		put(this.first, 0);
		PartitionTable table = table("vm-a", "pool/dc-2/m");
		drive(table, this.first, 0);
		assertThat(table.tokenOf("pool/dc-2/m", this.first), equalTo(1L));
		put(this.second, SECOND);
		this.store.failNext(Fault.DELAYED);
		drive(table, this.first, SECOND);
		drive(table, this.first, SECOND);
		assertThat("the row still names this VM", table.ownerOf("pool/dc-2/m", this.slots), equalTo(this.first));
		assertThat(table.tokenOf("pool/dc-2/m", this.first), equalTo(0L));
		this.store.applyDelayed();
		PartitionTable other = table("vm-b", "pool/dc-2/m");
		other.observeAll(this.store.withPrefix(PartitionRecord.PREFIX), this.slots);
		drive(other, this.second, SECOND);
		assertThat(other.tokenOf("pool/dc-2/m", this.second), equalTo(2L));
	}

	@Test
	void takeoverIsConditionalOnTheSlotRowOfTheOldHolder() {
		put(this.first, 0);
		drive(table("vm-a", "team/0"), this.first, 0);
		put(slot(1, "vm-b", "dc-2", VmState.LIVE), 15 * SECOND);
		PartitionTable successor = table("vm-b", "team/0");
		successor.observeAll(this.store.withPrefix(PartitionRecord.PREFIX), this.slots);
		StoreStep step = successor.next(17 * SECOND, this.second, this.slots, true);
		put(slot(0, "vm-a", "dc-1", VmState.LIVE), 17 * SECOND);
		successor.written((StoreStep.Transact) step, StoreReply.execute(step, this.store), this.slots, 17 * SECOND);
		assertThat("the holder renewed in between", successor.tokenOf("team/0", this.second), equalTo(0L));
	}

	@Test
	void lostReplyOfATakeIsReadBack() {
		put(this.first, 0);
		PartitionTable table = table("vm-a", "team/0");
		this.store.failNext(Fault.LOST_REPLY);
		drive(table, this.first, 0);
		assertThat(table.tokenOf("team/0", this.first), equalTo(0L));
		drive(table, this.first, 0);
		assertThat(table.tokenOf("team/0", this.first), equalTo(1L));
		assertThat(drive(table, this.first, 0), is(false));
	}

	@Test
	void onlyOneOfTwoRacingTakersOwns() {
		put(this.first, 0);
		PartitionTable one = table("vm-a", "team/0");
		StoreStep step = one.next(0, this.first, this.slots, true);
		drive(table("vm-a", "team/0"),
				new SlotRecord(0, VmId.of("vm-a"), 2, DataCentreId.of("dc-1"), "c", "v", VmState.LIVE, "y"), 0);
		one.written((StoreStep.Transact) step, StoreReply.execute(step, this.store), this.slots, 0);
		assertThat(one.tokenOf("team/0", this.first), equalTo(0L));
	}

	@Test
	void poolPartitionsPreferTheirDataCentreAndLeavingVmsOwnNothing() {
		List<SlotRecord> both = List.of(this.first, this.second);
		for (int i = 0; i < 20; i++) {
			assertThat(RendezvousHash.preferred("pool/dc-2/m" + i, both), equalTo(VmId.of("vm-b")));
			assertThat(RendezvousHash.preferred("pool/dc-2/m" + i, List.of(this.first)), equalTo(VmId.of("vm-a")));
		}
		put(slot(0, "vm-a", "dc-1", VmState.LEAVING), 0);
		assertThat(RendezvousHash.preferred("team/0", this.slots.live(0)), nullValue());
	}

	@Test
	void rendezvousHashSpreadsPartitionsAndMovesOnlyThoseOfAVmThatLeaves() {
		List<SlotRecord> nine = java.util.stream.IntStream.range(0, 9)
			.mapToObj((i) -> slot(i, "entry-" + i, "dc-1", VmState.LIVE))
			.toList();
		int[] counts = new int[9];
		for (int i = 0; i < 900; i++) {
			VmId owner = RendezvousHash.preferred("request/" + i, nine);
			counts[owner.name().charAt(6) - '0']++;
			VmId after = RendezvousHash.preferred("request/" + i, nine.subList(0, 8));
			assertThat(owner.equals(VmId.of("entry-8")) || owner.equals(after), is(true));
		}
		for (int count : counts) {
			assertThat(count > 60 && count < 140, is(true));
		}
	}

}
