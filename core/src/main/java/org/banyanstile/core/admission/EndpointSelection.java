package org.banyanstile.core.admission;

import java.util.Map;
import java.util.Set;

import org.banyanstile.core.common.EndpointId;
import org.jspecify.annotations.Nullable;

/**
 * Chooses among the endpoints of a pool. Not safe for use by several threads.
 *
 * @author banyanstile contributors
 */
final class EndpointSelection {

	/**
	 * Number of requests by which the load of the endpoint with the cached prefix may
	 * exceed that of the least loaded one. With a larger excess, the added waiting time
	 * exceeds what the cached prefix saves.
	 */
	private static final int MAX_AFFINITY_EXCESS = 2;

	private final Map<EndpointId, EndpointSlots> endpoints;

	EndpointSelection(Map<EndpointId, EndpointSlots> endpoints) {
		this.endpoints = endpoints;
	}

	int freeSlots() {
		return this.endpoints.values().stream().mapToInt(EndpointSlots::free).sum();
	}

	/**
	 * Returns the number of slots that the endpoints allow.
	 * @return the sum over all endpoints
	 */
	int allowedSlots() {
		return this.endpoints.values().stream().mapToInt((slots) -> slots.ramp().allowed()).sum();
	}

	@Nullable
	EndpointSlots choose(Set<EndpointId> excluded, @Nullable EndpointId preferred) {
		EndpointSlots least = null;
		for (EndpointSlots slots : this.endpoints.values()) {
			if (slots.isOpen(excluded) && (least == null || slots.fill() < least.fill())) {
				least = slots;
			}
		}
		EndpointSlots hinted = (preferred != null) ? this.endpoints.get(preferred) : null;
		if (least != null && hinted != null && hinted.isOpen(excluded)
				&& hinted.held() <= least.held() + MAX_AFFINITY_EXCESS) {
			return hinted;
		}
		return least;
	}

	@Nullable
	EndpointSlots reservation(SlotRequest request) {
		EndpointSlots best = null;
		int reserved = 0;
		for (EndpointSlots slots : this.endpoints.values()) {
			if (slots.isReservedFor(request.requestId())) {
				return slots;
			}
			reserved += slots.isReserved() ? 1 : 0;
			if (slots.canReserve(request.excluded()) && (best == null || slots.held() < best.held())) {
				best = slots;
			}
		}
		if (best == null || reserved >= Math.max(1, this.endpoints.size() / 4)) {
			return null;
		}
		best.reserve(request.requestId());
		return best;
	}

}
