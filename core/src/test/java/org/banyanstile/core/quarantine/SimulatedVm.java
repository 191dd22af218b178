package org.banyanstile.core.quarantine;

import java.util.List;

import org.banyanstile.core.limit.FleetPosition;

/**
 * A VM of a simulated fleet.
 *
 * @author banyanstile contributors
 */
final class SimulatedVm {

	private CrashQuarantine quarantine = CrashQuarantine.create();

	private final int index;

	/**
	 * Each VM sends to the others in turn, beginning somewhere, in an order of its own.
	 */
	private int target;

	private final int stride;

	private long frozenFrom = Long.MAX_VALUE;

	private long frozenTo = Long.MAX_VALUE;

	private long cutFrom = Long.MAX_VALUE;

	private long cutTo = Long.MAX_VALUE;

	/**
	 * A VM serves after it received the fleet's state from another one.
	 */
	private boolean informed = true;

	SimulatedVm(int index, int target, int stride) {
		this.index = index;
		this.target = target;
		this.stride = stride;
	}

	CrashQuarantine quarantine() {
		return this.quarantine;
	}

	int nextTarget(int size) {
		this.target = (this.target + this.stride) % size;
		return this.target;
	}

	FleetPosition position(int size) {
		return (key) -> new FleetPosition.Position(Math.floorMod(key.hashCode() + this.index, size), size);
	}

	void restart() {
		this.quarantine = CrashQuarantine.create();
		this.informed = false;
	}

	void freeze(long from, long to) {
		this.frozenFrom = from;
		this.frozenTo = to;
	}

	void cutOff(long from, long to) {
		this.cutFrom = from;
		this.cutTo = to;
	}

	boolean isFrozen(long millis) {
		return millis >= this.frozenFrom && millis < this.frozenTo;
	}

	boolean isCutOff(long millis) {
		return millis >= this.cutFrom && millis < this.cutTo;
	}

	boolean isServing(long millis) {
		return this.informed && !isFrozen(millis);
	}

	void receive(List<CrashEvidence> reports, long nanos) {
		this.quarantine.merge(reports, nanos);
		this.informed = true;
	}

}
