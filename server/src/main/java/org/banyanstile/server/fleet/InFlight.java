package org.banyanstile.server.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.banyanstile.core.common.EndpointId;
import org.banyanstile.core.routing.CrashAttribution;
import org.banyanstile.core.routing.CrashAttribution.Fingerprint;
import org.banyanstile.server.caller.SlotOutcome;

/**
 * Requests in flight by endpoint, to attribute crashes. Bounded by the slots of the pool.
 *
 * @author banyanstile contributors
 */
final class InFlight {

	private final CrashAttribution attribution;

	private final Map<EndpointId, Map<String, Flight>> flights = new HashMap<>();

	InFlight(CrashAttribution attribution) {
		this.attribution = attribution;
	}

	synchronized void started(EndpointId endpoint, String requestId, Fingerprint fingerprint, boolean isolated) {
		this.flights.computeIfAbsent(endpoint, (key) -> new HashMap<>())
			.put(requestId, new Flight(fingerprint, isolated));
	}

	/**
	 * Records the end of a request.
	 * @param endpoint the endpoint
	 * @param requestId identifier of the request
	 * @param outcome how it ended
	 * @param now the current time
	 * @return the request that is refused from now on, if the crash identified it
	 */
	synchronized Optional<Fingerprint> ended(EndpointId endpoint, String requestId, SlotOutcome outcome, long now) {
		Map<String, Flight> here = this.flights.getOrDefault(endpoint, Map.of());
		Flight flight = here.get(requestId);
		if (flight == null) {
			return Optional.empty();
		}
		if (outcome == SlotOutcome.BROKEN) {
			// Each request of the crash is reported; the first report covers all of them.
			this.flights.remove(endpoint);
			return this.attribution.crashed(here.values().stream().map(Flight::fingerprint).toList(),
					here.size() == 1 && flight.isolated(), now);
		}
		here.remove(requestId);
		if (outcome == SlotOutcome.COMPLETED) {
			this.attribution.succeeded(flight.fingerprint());
		}
		return Optional.empty();
	}

	/**
	 * A request in flight.
	 *
	 * @param fingerprint its fingerprint
	 * @param isolated whether it is alone on its endpoint as a suspect
	 * @author banyanstile contributors
	 */
	private record Flight(Fingerprint fingerprint, boolean isolated) {

	}

}
