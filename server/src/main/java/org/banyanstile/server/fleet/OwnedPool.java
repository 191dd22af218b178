package org.banyanstile.server.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;

import org.banyanstile.core.admission.SlotBroker;
import org.banyanstile.core.admission.SlotDecision;
import org.banyanstile.core.common.EndpointId;
import org.banyanstile.core.common.TeamId;
import org.banyanstile.core.common.VmId;
import org.banyanstile.core.routing.CrashAttribution;
import org.banyanstile.core.routing.CrashAttribution.Fingerprint;
import org.banyanstile.server.caller.SlotOutcome;
import org.banyanstile.server.vm.SlotReply;
import org.banyanstile.server.vm.SlotRequest;

/**
 * A pool that this VM owns: its slot broker and the requests queued for a decision.
 *
 * @author banyanstile contributors
 */
final class OwnedPool {

	private final String name;

	private final long token;

	private final SlotBroker broker = SlotBroker.takeOver();

	private final CrashAttribution attribution;

	private final InFlightRequests inFlight;

	private final Map<String, QueuedRequest> queued = new ConcurrentHashMap<>();

	private volatile boolean ready;

	OwnedPool(String name, long token, CrashAttribution attribution) {
		this.name = name;
		this.token = token;
		this.attribution = attribution;
		this.inFlight = new InFlightRequests(attribution);
	}

	long token() {
		return this.token;
	}

	SlotBroker broker() {
		return this.broker;
	}

	boolean isReady() {
		return this.ready;
	}

	void setReady() {
		this.ready = true;
	}

	List<PendingReply> request(VmId from, SlotRequest request, int weight, long now) {
		Fingerprint fingerprint = new Fingerprint(TeamId.of(request.team()), request.fingerprint());
		if (this.attribution.isRefused(fingerprint, now)) {
			return List.of(new PendingReply(from, refusal(request.requestId(), SlotReply.CRASHES, 0)));
		}
		boolean isolated = this.attribution.isSuspect(fingerprint, now);
		this.queued.put(request.requestId(), new QueuedRequest(from, fingerprint, isolated));
		// The broker refuses a request past its deadline before it looks for a slot, so a
		// request that must not wait gets 1 ns.
		long waitNanos = Math.max(1, request.deadlineMillis() * 1_000_000);
		List<PendingReply> replies = new ArrayList<>(
				replies(this.broker.request(demand(from, request, weight, waitNanos, isolated), now)));
		if (request.deadlineMillis() == 0 && this.queued.remove(request.requestId()) != null) {
			replies.addAll(replies(this.broker.release(request.requestId(),
					org.banyanstile.core.admission.SlotOutcome.CANCELLED, now)));
			replies.add(new PendingReply(from, refusal(request.requestId(), SlotReply.OVERLOADED, 0)));
		}
		return replies;
	}

	private static org.banyanstile.core.admission.SlotRequest demand(VmId from, SlotRequest request, int weight,
			long waitNanos, boolean isolated) {
		return new org.banyanstile.core.admission.SlotRequest(request.requestId(), from, TeamId.of(request.team()),
				weight, request.cost(), waitNanos, isolated, null,
				request.excluded().stream().map(EndpointId::of).collect(Collectors.toSet()));
	}

	/**
	 * Converts decisions to replies.
	 * @param decisions decisions of the broker
	 * @return the replies to send
	 */
	List<PendingReply> replies(List<SlotDecision> decisions) {
		List<PendingReply> replies = new ArrayList<>();
		for (SlotDecision decision : decisions) {
			QueuedRequest request = this.queued.remove(decision.requestId());
			if (request == null) {
				continue;
			}
			if (decision instanceof SlotDecision.Granted granted) {
				this.inFlight.started(granted.endpoint(), granted.requestId(), request.fingerprint(),
						request.isolated());
				replies.add(new PendingReply(request.vm(),
						new SlotReply(this.name, granted.requestId(), granted.endpoint().name(), null, 0)));
			}
			else if (decision instanceof SlotDecision.Refused refused) {
				replies.add(new PendingReply(request.vm(),
						refusal(refused.requestId(), SlotReply.OVERLOADED, refused.retryAfterNanos() / 1_000_000)));
			}
		}
		return replies;
	}

	List<PendingReply> release(String requestId, SlotOutcome outcome, long now) {
		this.queued.remove(requestId);
		return replies(this.broker.release(requestId, switch (outcome) {
			case COMPLETED -> org.banyanstile.core.admission.SlotOutcome.COMPLETED;
			case CANCELLED -> org.banyanstile.core.admission.SlotOutcome.CANCELLED;
			case FAILED, BROKEN -> org.banyanstile.core.admission.SlotOutcome.FAILED;
		}, now));
	}

	Optional<Fingerprint> ended(String requestId, String endpoint, SlotOutcome outcome, long now) {
		return endpoint.isEmpty() ? Optional.empty()
				: this.inFlight.ended(EndpointId.of(endpoint), requestId, outcome, now);
	}

	private SlotReply refusal(String requestId, String reason, long retryAfterMillis) {
		return new SlotReply(this.name, requestId, null, reason, retryAfterMillis);
	}

	/**
	 * A reply to send.
	 *
	 * @param vm the receiver
	 * @param reply the reply
	 * @author banyanstile contributors
	 */
	record PendingReply(VmId vm, SlotReply reply) {

	}

	/**
	 * A request queued for a decision.
	 *
	 * @param vm the VM that sent it
	 * @param fingerprint its fingerprint
	 * @param isolated whether it must run alone
	 * @author banyanstile contributors
	 */
	private record QueuedRequest(VmId vm, Fingerprint fingerprint, boolean isolated) {

	}

}
