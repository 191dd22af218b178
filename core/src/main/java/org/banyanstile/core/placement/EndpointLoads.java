package org.banyanstile.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Work that all VMs have at each endpoint: this VM's own, exactly, and what the other VMs
 * last reported. Safe for use by several threads.
 *
 * @author banyanstile contributors
 */
public final class EndpointLoads {

	/**
	 * A report that is older says nothing about the present load. Twenty rounds of 250 ms
	 * between VMs.
	 */
	static final long REPORT_NANOS = 5_000_000_000L;

	private final Map<String, Load> own = new HashMap<>();

	private final Map<String, Report> reports = new HashMap<>();

	/**
	 * Notes the begin of a request.
	 * @param endpoint id of the endpoint
	 * @param tokens its tokens
	 */
	public synchronized void begin(String endpoint, long tokens) {
		this.own.merge(endpoint, new Load(endpoint, 1, tokens), (old, one) -> old.plus(1, tokens));
	}

	/**
	 * Notes the end of a request.
	 * @param endpoint id of the endpoint
	 * @param tokens its tokens, as at its begin
	 */
	public synchronized void end(String endpoint, long tokens) {
		this.own.computeIfPresent(endpoint, (id, old) -> (old.requests() <= 1) ? null : old.plus(-1, -tokens));
	}

	/**
	 * Returns the work of this VM.
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
		this.reports.values().removeIf((report) -> now - report.at() > REPORT_NANOS);
	}

	/**
	 * Returns the work of all VMs at an endpoint.
	 * @param endpoint id of the endpoint
	 * @return the work
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
	 * Work at an endpoint.
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
	 * Work of another VM.
	 *
	 * @param loads its loads by endpoint
	 * @param at time of arrival
	 * @author banyanstile contributors
	 */
	private record Report(Map<String, Load> loads, long at) {

	}

}
