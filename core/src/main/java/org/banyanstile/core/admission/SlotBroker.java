package org.banyanstile.core.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.banyanstile.core.common.EndpointId;
import org.banyanstile.core.common.VmId;
import org.banyanstile.core.routing.Candidate;
import org.jspecify.annotations.Nullable;

/**
 * Grants the decode slots of one pool at its owner. Every method that can free or use a
 * slot returns the decisions that follow, for any request. Safe for use by several
 * threads.
 *
 * @author banyanstile contributors
 */
public final class SlotBroker {

	/**
	 * Validity of a slot whose stream the engine does not list: prefill and transfer take
	 * under a second, and a failed VM is detected after 15 s.
	 */
	public static final long SLOT_NANOS = TimeUnit.SECONDS.toNanos(15);

	private static final long DEFAULT_RETRY_NANOS = TimeUnit.SECONDS.toNanos(1);

	private static final long MIN_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

	private static final double MEAN_COST_GRANTS = 100;

	private static final int MAX_QUEUED = 10_000;

	/**
	 * Free slots that are not granted to teams above their share, in standard deviations
	 * of the arrivals.
	 */
	private static final double KEPT_FROM_TEAMS_ABOVE_SHARE = 1.5;

	private static final double KEPT_FROM_OTHER_TEAMS = 0.5;

	private final Object lock = new Object();

	private final Map<EndpointId, EndpointSlots> endpoints = new LinkedHashMap<>();

	private final EndpointSelection selection = new EndpointSelection(this.endpoints);

	private final Map<String, EndpointSlots> slotsByRequest = new HashMap<>();

	private final Map<String, FairQueue.QueuedRequest> suspects = new LinkedHashMap<>();

	private final FairQueue queue = new FairQueue();

	private final RecentShares shares = new RecentShares();

	private double meanCost;

	private final ReleaseRate releases = new ReleaseRate();

	private SlotBroker() {
	}

	/**
	 * Creates the broker of a pool at the time its partition was taken over. No endpoint
	 * gets work before its stream list was observed.
	 * @return the broker
	 */
	public static SlotBroker takeOver() {
		return new SlotBroker();
	}

	/**
	 * Sets the endpoints that may get new work. An endpoint that is absent is leaving or
	 * drained, and only completes its running streams.
	 * @param candidates the active endpoints that are not drained
	 * @param now the current time in nanoseconds
	 * @return the decisions that follow
	 */
	public List<SlotDecision> configure(List<Candidate> candidates, long now) {
		synchronized (this.lock) {
			this.endpoints.values().forEach(EndpointSlots::deactivate);
			for (Candidate candidate : candidates) {
				this.endpoints.computeIfAbsent(candidate.endpoint(), (id) -> new EndpointSlots(candidate))
					.configure(candidate);
			}
			this.endpoints.values().removeIf(EndpointSlots::isRemovable);
			return decide(now);
		}
	}

	/**
	 * Requests a slot.
	 * @param request the request
	 * @param now the current time in nanoseconds
	 * @return the decisions that follow; without a decision on this request, it waits
	 */
	public List<SlotDecision> request(SlotRequest request, long now) {
		synchronized (this.lock) {
			EndpointSlots held = this.slotsByRequest.get(request.requestId());
			if (held != null && held.isHeld(request.requestId())) {
				held.renew(request.requestId(), request.holder(), now + SLOT_NANOS);
				return List.of(new SlotDecision.Granted(request.requestId(), held.endpoint(), SLOT_NANOS));
			}
			if (isUnservable(request, now)) {
				return List.of(new SlotDecision.Refused(request.requestId(), retryAfter(now)));
			}
			FairQueue.QueuedRequest queued = new FairQueue.QueuedRequest(request, now + request.maxWaitNanos());
			if (request.isolated()) {
				this.suspects.put(request.requestId(), queued);
			}
			else {
				this.queue.add(queued);
			}
			return decide(now);
		}
	}

	/**
	 * Releases a slot, or withdraws a queued request.
	 * @param requestId the request
	 * @param outcome the end of its use
	 * @param now the current time in nanoseconds
	 * @return the decisions that follow
	 */
	public List<SlotDecision> release(String requestId, SlotOutcome outcome, long now) {
		synchronized (this.lock) {
			EndpointSlots slots = this.slotsByRequest.remove(requestId);
			if (slots == null || !slots.isHeld(requestId)) {
				this.suspects.remove(requestId);
				this.queue.removeIf((queued) -> queued.request().requestId().equals(requestId));
				this.endpoints.values().forEach((endpoint) -> endpoint.release(requestId));
				return decide(now);
			}
			if (slots.release(requestId)) {
				this.releases.released(now);
				switch (outcome) {
					case COMPLETED -> slots.ramp().completed();
					case COMPLETED_LATE -> slots.ramp().completedLate();
					case FAILED -> failed(slots);
					case CANCELLED -> {
					}
				}
			}
			return decide(now);
		}
	}

	/**
	 * Extends the validity of slots whose requests are still in prefill or transfer.
	 * @param holder the serving VM
	 * @param requestIds its requests
	 * @param now the current time in nanoseconds
	 */
	public void renew(VmId holder, List<String> requestIds, long now) {
		synchronized (this.lock) {
			for (String requestId : requestIds) {
				EndpointSlots slots = this.slotsByRequest.get(requestId);
				if (slots != null) {
					slots.renew(requestId, holder, now + SLOT_NANOS);
				}
			}
		}
	}

	/**
	 * Adopts a slot that the previous owner of the pool granted.
	 * @param requestId the request
	 * @param holder the serving VM
	 * @param endpoint the endpoint
	 * @param now the current time in nanoseconds
	 */
	public void announce(String requestId, VmId holder, EndpointId endpoint, long now) {
		synchronized (this.lock) {
			EndpointSlots slots = this.endpoints.get(endpoint);
			if (slots != null && !slots.isHeld(requestId)) {
				slots.hold(requestId, holder, now, now + SLOT_NANOS);
				this.slotsByRequest.put(requestId, slots);
			}
		}
	}

	/**
	 * Records the stream list of an engine. Streams that hold no slot yet get one, and a
	 * slot is released when its stream was listed before and is no longer.
	 * @param endpoint the endpoint
	 * @param streams its streams
	 * @param askedAt a time before the list was requested
	 * @param now the current time in nanoseconds
	 * @return the decisions that follow
	 */
	public List<SlotDecision> observed(EndpointId endpoint, List<ObservedStream> streams, long askedAt, long now) {
		synchronized (this.lock) {
			EndpointSlots slots = this.endpoints.get(endpoint);
			if (slots == null) {
				return List.of();
			}
			int before = slots.held();
			slots.observed(streams, askedAt, now + SLOT_NANOS);
			streams.forEach((stream) -> this.slotsByRequest.put(stream.requestId(), slots));
			for (int freed = before - slots.held(); freed > 0; freed--) {
				this.releases.released(now);
			}
			return decide(now);
		}
	}

	/**
	 * Records evidence that an endpoint is in cold start.
	 * @param endpoint the endpoint
	 */
	public void coldDetected(EndpointId endpoint) {
		synchronized (this.lock) {
			EndpointSlots slots = this.endpoints.get(endpoint);
			if (slots != null) {
				slots.ramp().coldDetected();
			}
		}
	}

	/**
	 * Reclaims the slots of a VM that is no longer registered, except those whose stream
	 * the engine lists, which occupy the engine until they are cancelled there.
	 * @param vm the VM
	 * @param now the current time in nanoseconds
	 * @return the decisions that follow
	 */
	public List<SlotDecision> vmRemoved(VmId vm, long now) {
		synchronized (this.lock) {
			this.suspects.values().removeIf((queued) -> queued.request().holder().equals(vm));
			this.queue.removeIf((queued) -> queued.request().holder().equals(vm));
			this.endpoints.values().forEach((slots) -> slots.vmRemoved(vm));
			return decide(now);
		}
	}

	/**
	 * Reclaims expired slots and refuses requests that waited too long. Called at least
	 * every 20 ms while {@link #waiting()} is above 0.
	 * @param now the current time in nanoseconds
	 * @return the decisions that follow
	 */
	public List<SlotDecision> tick(long now) {
		synchronized (this.lock) {
			this.endpoints.values().forEach((slots) -> slots.expire(now));
			this.slotsByRequest.entrySet().removeIf((entry) -> !entry.getValue().isHeld(entry.getKey()));
			this.endpoints.values().removeIf(EndpointSlots::isRemovable);
			return decide(now);
		}
	}

	/**
	 * Returns the number of queued requests.
	 * @return the number
	 */
	public int waiting() {
		synchronized (this.lock) {
			return this.queue.size() + this.suspects.size();
		}
	}

	/**
	 * Returns the number of slots held at an endpoint.
	 * @param endpoint the endpoint
	 * @return the number, 0 for an unknown endpoint
	 */
	public int held(EndpointId endpoint) {
		synchronized (this.lock) {
			EndpointSlots slots = this.endpoints.get(endpoint);
			return (slots != null) ? slots.held() : 0;
		}
	}

	private static void failed(EndpointSlots slots) {
		if (slots.ramp().isCold()) {
			slots.ramp().failed();
		}
	}

	private List<SlotDecision> decide(long now) {
		List<SlotDecision> decisions = new ArrayList<>();
		refuseLate(now, decisions);
		placeSuspects(now, decisions);
		for (FairQueue.QueuedRequest next = poll(); next != null; next = poll()) {
			EndpointSlots chosen = choose(next.request());
			if (chosen != null) {
				grant(next.request(), chosen, now, decisions);
			}
		}
		return decisions;
	}

	private FairQueue.@Nullable QueuedRequest poll() {
		if (this.queue.size() == 0 || this.selection.choose(Set.of(), null) == null) {
			return null;
		}
		return this.queue.poll((request) -> choose(request) != null && mayUseLastSlots(request));
	}

	/**
	 * Returns whether a request may be granted one of the last free slots. These are kept
	 * for teams that used less than their share. Otherwise such a team would wait for the
	 * next release, which in a small pool takes longer than the first-token target
	 * allows. The square root of the slots is the standard deviation of their arrivals. A
	 * larger multiple of it is kept from teams above their share than from the others,
	 * since unused slots reduce goodput.
	 * @param request the request
	 * @return true if more slots are free, or the team is behind or alone
	 */
	private boolean mayUseLastSlots(SlotRequest request) {
		double kept = this.shares.isAboveShare(request) ? KEPT_FROM_TEAMS_ABOVE_SHARE : KEPT_FROM_OTHER_TEAMS;
		return this.selection.freeSlots() > kept * Math.sqrt(this.selection.allowedSlots())
				|| this.queue.isBehind(request.team()) || this.queue.activeTeams() <= 1;
	}

	private void grant(SlotRequest request, EndpointSlots slots, long now, List<SlotDecision> decisions) {
		slots.hold(request.requestId(), request.holder(), now, now + SLOT_NANOS);
		this.shares.granted(request);
		this.meanCost += (request.cost() - this.meanCost) / MEAN_COST_GRANTS;
		this.queue.credit(this.meanCost * this.selection.allowedSlots());
		this.slotsByRequest.put(request.requestId(), slots);
		decisions.add(new SlotDecision.Granted(request.requestId(), slots.endpoint(), SLOT_NANOS));
	}

	private @Nullable EndpointSlots choose(SlotRequest request) {
		return this.selection.choose(request.excluded(), request.preferred());
	}

	private void refuseLate(long now, List<SlotDecision> decisions) {
		List<FairQueue.QueuedRequest> late = new ArrayList<>(this.queue.removeIf((queued) -> queued.refuseAt() <= now));
		this.suspects.values().stream().filter((queued) -> queued.refuseAt() <= now).forEach(late::add);
		for (FairQueue.QueuedRequest queued : late) {
			String requestId = queued.request().requestId();
			if (this.suspects.remove(requestId) != null) {
				this.endpoints.values().forEach((slots) -> slots.release(requestId));
			}
			decisions.add(new SlotDecision.Refused(requestId, retryAfter(now)));
		}
	}

	private void placeSuspects(long now, List<SlotDecision> decisions) {
		// Endpoints are reserved for the suspects one by one. A reserved endpoint gets no
		// new work until it is empty. At most a quarter of the pool is reserved, so that
		// a crash with many requests in flight does not stop all other work.
		for (FairQueue.QueuedRequest queued : List.copyOf(this.suspects.values())) {
			EndpointSlots reserved = this.selection.reservation(queued.request());
			if (reserved == null) {
				return;
			}
			if (reserved.held() == 0) {
				this.suspects.remove(queued.request().requestId());
				grant(queued.request(), reserved, now, decisions);
			}
		}
	}

	private boolean isUnservable(SlotRequest request, long now) {
		boolean anyUsable = this.endpoints.values().stream().anyMatch((slots) -> slots.isUsable(request.excluded()));
		if (!anyUsable || this.queue.size() >= MAX_QUEUED) {
			return true;
		}
		double rate = this.releases.perNano(now);
		if (request.isolated() || rate <= 0 || choose(request) != null) {
			return false;
		}
		// The next request in order waits in any case: the release rate is a mean, and
		// one release is enough.
		int ahead = this.queue.ahead(request);
		return request.maxWaitNanos() <= 0 || (ahead > 0 && (ahead + 1) / rate > request.maxWaitNanos());
	}

	private long retryAfter(long now) {
		double rate = this.releases.perNano(now);
		if (rate <= 0) {
			return DEFAULT_RETRY_NANOS;
		}
		return (long) Math.max(MIN_RETRY_NANOS, (this.queue.size() + 1) / rate);
	}

}
