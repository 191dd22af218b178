package org.banyanstile.core.lease;

import java.util.List;
import java.util.random.RandomGenerator;

import org.banyanstile.core.membership.ServingGate;
import org.banyanstile.core.store.Row;
import org.jspecify.annotations.Nullable;

/**
 * Periodic read of the row that names the newest configuration version. It does not wait
 * for other store calls: on a slow store, several calls in sequence take longer than the
 * time for which one read of the head permits serving. Not safe for use by several
 * threads.
 *
 * @author banyanstile contributors
 */
public final class HeadPoll {

	/**
	 * Row that names the newest configuration version.
	 */
	public static final String HEAD_KEY = "config/head";

	private static final long SECOND = 1_000_000_000L;

	/**
	 * Reads of the configuration head per second over all VMs, a quarter of the reads
	 * that the store can serve.
	 */
	private static final int POLLS_PER_SECOND = 500;

	private static final long RETRY_NANOS = SlotLease.GRACE_NANOS / 2;

	private final ServingGate gate;

	private final SlotTable slots;

	private final RandomGenerator random;

	private boolean started;

	private long nextReadAt;

	private @Nullable Row head;

	private HeadPoll(ServingGate gate, SlotTable slots, RandomGenerator random) {
		this.gate = gate;
		this.slots = slots;
		this.random = random;
	}

	static HeadPoll create(ServingGate gate, SlotTable slots, RandomGenerator random) {
		return new HeadPoll(gate, slots, random);
	}

	/**
	 * Returns the next read.
	 * @param now the current time
	 * @return the read, or {@code null} if it is not due
	 */
	public StoreStep.@Nullable Read next(long now) {
		if (this.started && now - this.nextReadAt < 0) {
			return null;
		}
		return new StoreStep.Read(List.of(HEAD_KEY), now);
	}

	/**
	 * Applies the result of the read that {@link #next} returned last.
	 * @param step the read
	 * @param reply its result
	 * @param now time at which the reply was received
	 */
	public void complete(StoreStep.Read step, StoreReply reply, long now) {
		this.started = true;
		if (reply instanceof StoreReply.Rows rows) {
			this.gate.contacted(step.sentAt());
			this.head = rows.rows().isEmpty() ? null : rows.rows().get(0);
			// Measured from when the read was sent, so that a slow store is read without
			// a pause.
			this.nextReadAt = step.sentAt() + Math.max(SECOND, this.slots.all().size() * SECOND / POLLS_PER_SECOND);
		}
		else {
			this.nextReadAt = now + RETRY_NANOS / 2 + this.random.nextLong(RETRY_NANOS / 2);
		}
	}

	/**
	 * Returns the row as last read.
	 * @return the row, or {@code null} if there is none
	 */
	public @Nullable Row head() {
		return this.head;
	}

}
