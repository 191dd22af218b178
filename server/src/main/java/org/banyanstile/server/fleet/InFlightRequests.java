package org.banyanstile.server.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.banyanstile.core.common.EndpointId;
import org.banyanstile.core.routing.CrashAttribution;
import org.banyanstile.core.routing.CrashAttribution.Fingerprint;
import org.banyanstile.server.caller.SlotOutcome;

/**
 * Running requests by endpoint, to attribute crashes to them. Bounded by the slots of the
 * pool.
 *
 * @author banyanstile contributors
 */
final class InFlightRequests {

	private final CrashAttribution attribution;

	private final Map<EndpointId, Map<String, InFlightRequest>> requests = new HashMap<>();

	InFlightRequests(CrashAttribution attribution) {
		this.attribution = attribution;
	}

	synchronized void started(EndpointId endpoint, String requestId, Fingerprint fingerprint, boolean isolated) {
		this.requests.computeIfAbsent(endpoint, (key) -> new HashMap<>())
			.put(requestId, new InFlightRequest(fingerprint, isolated));
	}

	/**
	 * Records the end of a request.
	 * @param endpoint the endpoint
	 * @param requestId identifier of the request
	 * @param outcome how it ended
	 * @param now the current time
	 * @return the request to refuse from now on, if the crash identified it
	 */
	synchronized Optional<Fingerprint> ended(EndpointId endpoint, String requestId, SlotOutcome outcome, long now) {
		Map<String, InFlightRequest> atEndpoint = this.requests.getOrDefault(endpoint, Map.of());
		InFlightRequest request = atEndpoint.get(requestId);
		if (request == null) {
			return Optional.empty();
		}
		if (outcome == SlotOutcome.BROKEN) {
			// The VMs report each request that the crash ended; the first report covers
			// all.
			this.requests.remove(endpoint);
			return this.attribution.crashed(atEndpoint.values().stream().map(InFlightRequest::fingerprint).toList(),
					atEndpoint.size() == 1 && request.isolated(), now);
		}
		atEndpoint.remove(requestId);
		if (outcome == SlotOutcome.COMPLETED) {
			this.attribution.succeeded(request.fingerprint());
		}
		return Optional.empty();
	}

	/**
	 * A running request.
	 *
	 * @param fingerprint its fingerprint
	 * @param isolated whether it runs alone on its endpoint because it is a suspect
	 * @author banyanstile contributors
	 */
	private record InFlightRequest(Fingerprint fingerprint, boolean isolated) {

	}

}
