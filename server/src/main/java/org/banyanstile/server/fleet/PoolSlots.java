package org.banyanstile.server.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.banyanstile.core.common.VmId;
import org.banyanstile.server.caller.EndpointTarget;
import org.banyanstile.server.caller.SlotOutcome;
import org.banyanstile.server.vm.SlotReply;
import org.banyanstile.server.vm.SlotRequest;
import org.jspecify.annotations.Nullable;

/**
 * Slots of one pool in the memory of its owner. Decisions only; replies are returned and
 * sent by the caller without the lock held.
 *
 * @author banyanstile contributors
 */
final class PoolSlots {

	/**
	 * A slot that is not renewed for this long is free again. Holders renew each 3 s.
	 */
	private static final long VALID_NANOS = 10_000_000_000L;

	private static final long RETRY_MILLIS = 250;

	private static final int MAX_WAITING = 10_000;

	private final String name;

	private final Map<String, Slot> slots = new HashMap<>();

	private final Map<String, EndpointRamp> ramps = new HashMap<>();

	private final FairQueue queue = new FairQueue();

	PoolSlots(String name) {
		this.name = name;
	}

	synchronized List<Answer> request(SlotWait waiting, List<EndpointTarget> targets, long now) {
		if (this.queue.size() >= MAX_WAITING) {
			return List.of(refusal(waiting));
		}
		this.queue.add(waiting);
		return dispatch(targets, now);
	}

	synchronized List<Answer> release(String requestId, String endpoint, SlotOutcome outcome,
			List<EndpointTarget> targets, long now) {
		this.queue.removeIf((waiting) -> waiting.request().requestId().equals(requestId));
		this.slots.remove(requestId);
		EndpointRamp ramp = this.ramps.computeIfAbsent(endpoint, (key) -> new EndpointRamp());
		if (outcome == SlotOutcome.COMPLETED) {
			ramp.completed();
		}
		else if (outcome != SlotOutcome.CANCELLED) {
			ramp.reset();
		}
		return dispatch(targets, now);
	}

	synchronized void renew(String requestId, String endpoint, long now) {
		this.slots.put(requestId, new Slot(endpoint, now + VALID_NANOS));
	}

	synchronized void cold(String endpoint) {
		this.ramps.computeIfAbsent(endpoint, (key) -> new EndpointRamp()).reset();
	}

	/**
	 * Frees slots that were not renewed and serves waiting requests.
	 * @param targets endpoints of the pool that get new work
	 * @param now the current time
	 * @return the replies to send
	 */
	synchronized List<Answer> dispatch(List<EndpointTarget> targets, long now) {
		this.slots.values().removeIf((slot) -> slot.until() - now < 0);
		List<Answer> answers = new ArrayList<>();
		FairQueue.Match match = this.queue.poll((waiting) -> choose(waiting, targets));
		while (match != null) {
			SlotRequest request = match.waiting().request();
			String endpoint = match.target().id().name();
			this.slots.put(request.requestId(), new Slot(endpoint, now + VALID_NANOS));
			answers
				.add(new Answer(match.waiting().vm(), new SlotReply(this.name, request.requestId(), endpoint, null, 0)));
			match = this.queue.poll((waiting) -> choose(waiting, targets));
		}
		this.queue.removeIf((waiting) -> waiting.until() - now <= 0).forEach((waiting) -> answers.add(refusal(waiting)));
		return answers;
	}

	private @Nullable EndpointTarget choose(SlotWait waiting, List<EndpointTarget> targets) {
		return targets.stream()
			.filter((target) -> !waiting.request().excluded().contains(target.id().name()) && used(target) < limit(target))
			.min(Comparator.comparingInt(this::used))
			.orElse(null);
	}

	private int used(EndpointTarget target) {
		String endpoint = target.id().name();
		return (int) this.slots.values().stream().filter((slot) -> slot.endpoint().equals(endpoint)).count();
	}

	private int limit(EndpointTarget target) {
		EndpointRamp ramp = this.ramps.get(target.id().name());
		return (ramp != null) ? ramp.slots(target.slots()) : target.slots();
	}

	private Answer refusal(SlotWait waiting) {
		return new Answer(wait.vm(),
				new SlotReply(this.name, waiting.request().requestId(), null, SlotReply.OVERLOADED, RETRY_MILLIS));
	}

	/**
	 * A slot in use.
	 *
	 * @param endpoint name of the endpoint
	 * @param until time up to which it is held without renewal
	 * @author banyanstile contributors
	 */
	private record Slot(String endpoint, long until) {

	}

	/**
	 * A reply to send.
	 *
	 * @param vm the receiver
	 * @param reply the reply
	 * @author banyanstile contributors
	 */
	record Answer(VmId vm, SlotReply reply) {

	}

}
