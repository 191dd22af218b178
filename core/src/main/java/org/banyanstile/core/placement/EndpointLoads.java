package org.banyanstile.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Load of each endpoint from all VMs: the exact load of this VM and the last reported
 * loads of the other VMs. Safe for use by several threads.
 *
 * @author banyanstile contributors
 */
public final class EndpointLoads {

	/**
	 * Age after which a report no longer describes the present load. Twenty gossip rounds
	 * of 250 ms.
	 */
	static final long MAX_REPORT_AGE_NANOS = 5_000_000_000L;

	/**
	 * Suffix of the id under which the prefills of a decode engine are reported, so that
	 * they need no field of their own in a report. Ids of endpoints contain no slash.
	 */
	private static final String PREFILL_SUFFIX = "/prefill";

	private final Map<String, Load> own = new HashMap<>();

	private final Map<String, Report> reports = new HashMap<>();

	/**
	 * Records the start of a request.
	 * @param endpoint id of the endpoint
	 * @param tokens its tokens
	 */
	public synchronized void begin(String endpoint, long tokens) {
		this.own.merge(endpoint, new Load(endpoint, 1, tokens), (old, one) -> old.plus(1, tokens));
	}

	/**
	 * Records the end of a request.
	 * @param endpoint id of the endpoint
	 * @param tokens its tokens, the same number as at its start
	 */
	public synchronized void end(String endpoint, long tokens) {
		this.own.computeIfPresent(endpoint, (id, old) -> (old.requests() <= 1) ? null : old.plus(-1, -tokens));
	}

	/**
	 * Records that a decode engine begins to prefill a prompt itself.
	 * @param engine id of the engine
	 * @param tokens tokens of the prompt
	 */
	public void beginPrefill(String engine, long tokens) {
		begin(engine + PREFILL_SUFFIX, tokens);
	}

	/**
	 * Records that a decode engine no longer prefills a prompt itself.
	 * @param engine id of the engine
	 * @param tokens tokens of the prompt, the same number as at its start
	 */
	public void endPrefill(String engine, long tokens) {
		end(engine + PREFILL_SUFFIX, tokens);
	}

	/**
	 * Returns the tokens of the prompts that a decode engine is prefilling itself.
	 * @param engine id of the engine
	 * @return their number, from all VMs
	 */
	public long prefillTokens(String engine) {
		return total(engine + PREFILL_SUFFIX).tokens();
	}

	/**
	 * Returns the loads of this VM.
	 * @return its loads
	 */
	public synchronized List<Load> own() {
		return new ArrayList<>(this.own.values());
	}

	/**
	 * Replaces the report of another VM.
	 * @param vm the VM
	 * @param loads its loads
	 * @param now the current time in nanoseconds
	 */
	public synchronized void report(String vm, List<Load> loads, long now) {
		Map<String, Load> byEndpoint = new HashMap<>();
		loads.forEach((load) -> byEndpoint.put(load.endpoint(), load));
		this.reports.put(vm, new Report(byEndpoint, now));
		this.reports.values().removeIf((report) -> now - report.receivedAt() > MAX_REPORT_AGE_NANOS);
	}

	/**
	 * Returns the load of an endpoint from all VMs.
	 * @param endpoint id of the endpoint
	 * @return the load
	 */
	public synchronized Load total(String endpoint) {
		Load sum = this.own.getOrDefault(endpoint, new Load(endpoint, 0, 0));
		for (Report report : this.reports.values()) {
			Load load = report.loads().get(endpoint);
			if (load != null) {
				sum = sum.plus(load.requests(), load.tokens());
			}
		}
		return sum;
	}

	/**
	 * Load of an endpoint.
	 *
	 * @param endpoint id of the endpoint
	 * @param requests number of requests
	 * @param tokens tokens of prompts and expected outputs
	 * @author banyanstile contributors
	 */
	public record Load(String endpoint, int requests, long tokens) {

		Load plus(int moreRequests, long moreTokens) {
			return new Load(this.endpoint, this.requests + moreRequests, this.tokens + moreTokens);
		}

	}

	/**
	 * Loads reported by another VM.
	 *
	 * @param loads its loads by endpoint
	 * @param receivedAt time of arrival in nanoseconds
	 * @author banyanstile contributors
	 */
	private record Report(Map<String, Load> loads, long receivedAt) {

	}

}
