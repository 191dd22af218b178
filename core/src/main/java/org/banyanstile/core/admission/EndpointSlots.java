package org.banyanstile.core.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.banyanstile.core.common.EndpointId;
import org.banyanstile.core.common.VmId;
import org.banyanstile.core.routing.Candidate;
import org.banyanstile.core.routing.ColdStartRamp;
import org.jspecify.annotations.Nullable;

/**
 * Slots of one decode endpoint. Not safe for use by several threads.
 *
 * @author banyanstile contributors
 */
final class EndpointSlots {

	private final EndpointId endpoint;

	private final Map<String, Slot> slots = new HashMap<>();

	private Candidate candidate;

	private ColdStartRamp ramp;

	private boolean active = true;

	/**
	 * Whether the engine's stream list has been read. Without it, the free slots of an
	 * endpoint are unknown after a change of the owner.
	 */
	private boolean listed;

	private @Nullable String reservedFor;

	EndpointSlots(Candidate candidate) {
		this.endpoint = candidate.endpoint();
		this.candidate = candidate;
		this.ramp = ColdStartRamp.warm(candidate.capacity());
	}

	EndpointId endpoint() {
		return this.endpoint;
	}

	void configure(Candidate changed) {
		this.active = true;
		if (changed.capacity() != this.candidate.capacity()) {
			this.candidate = changed;
			this.ramp = ColdStartRamp.warm(changed.capacity());
		}
	}

	void deactivate() {
		this.active = false;
	}

	boolean isRemovable() {
		return !this.active && this.slots.isEmpty();
	}

	int held() {
		return this.slots.size();
	}

	int free() {
		return (this.active && this.listed && this.reservedFor == null)
				? Math.max(0, this.ramp.allowed() - this.slots.size()) : 0;
	}

	double fill() {
		return (double) this.slots.size() / this.ramp.allowed();
	}

	ColdStartRamp ramp() {
		return this.ramp;
	}

	boolean isUsable(Set<EndpointId> excluded) {
		return this.active && !excluded.contains(this.endpoint);
	}

	boolean isOpen(Set<EndpointId> excluded) {
		return canReserve(excluded) && this.slots.size() < this.ramp.allowed();
	}

	boolean canReserve(Set<EndpointId> excluded) {
		return isUsable(excluded) && this.listed && this.reservedFor == null;
	}

	boolean isReserved() {
		return this.reservedFor != null;
	}

	boolean isReservedFor(String requestId) {
		return requestId.equals(this.reservedFor);
	}

	void reserve(@Nullable String requestId) {
		this.reservedFor = requestId;
	}

	void hold(String requestId, VmId holder, long now, long expiresAt) {
		this.slots.put(requestId, new Slot(holder, now, expiresAt));
	}

	boolean release(String requestId) {
		if (isReservedFor(requestId)) {
			this.reservedFor = null;
		}
		return this.slots.remove(requestId) != null;
	}

	boolean isHeld(String requestId) {
		return this.slots.containsKey(requestId);
	}

	void renew(String requestId, VmId holder, long expiresAt) {
		Slot slot = this.slots.get(requestId);
		if (slot != null) {
			slot.expiresAt = expiresAt;
			slot.holder = holder;
		}
	}

	void observed(List<ObservedStream> streams, long askedAt, long expiresAt) {
		this.listed = true;
		for (ObservedStream stream : streams) {
			Slot slot = this.slots.computeIfAbsent(stream.requestId(),
					(id) -> new Slot(stream.holder(), askedAt, expiresAt));
			slot.streamListed = true;
			slot.expiresAt = expiresAt;
			slot.holder = stream.holder();
		}
		Set<String> listedIds = streams.stream().map(ObservedStream::requestId).collect(Collectors.toSet());
		releaseAll((id, slot) -> slot.streamListed && slot.heldSince <= askedAt && !listedIds.contains(id));
	}

	void expire(long now) {
		releaseAll((id, slot) -> slot.expiresAt <= now);
	}

	void vmRemoved(VmId vm) {
		releaseAll((id, slot) -> !slot.streamListed && slot.holder.equals(vm));
	}

	private void releaseAll(SlotCondition condition) {
		List<String> ended = new ArrayList<>();
		this.slots.forEach((id, slot) -> {
			if (condition.test(id, slot)) {
				ended.add(id);
			}
		});
		ended.forEach(this::release);
	}

	@FunctionalInterface
	private interface SlotCondition {

		boolean test(String requestId, Slot slot);

	}

	private static final class Slot {

		private final long heldSince;

		private VmId holder;

		private long expiresAt;

		private boolean streamListed;

		private Slot(VmId holder, long heldSince, long expiresAt) {
			this.holder = holder;
			this.heldSince = heldSince;
			this.expiresAt = expiresAt;
		}

	}

}
