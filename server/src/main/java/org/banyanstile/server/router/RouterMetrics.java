package org.banyanstile.server.router;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.MultiGauge;
import io.micrometer.core.instrument.Tags;
import io.micrometer.core.instrument.Timer;
import org.banyanstile.core.catalog.EndpointRole;
import org.banyanstile.core.catalog.RegisteredEndpoint;
import org.banyanstile.core.limit.BodyBudget;
import org.banyanstile.io.http.MalformedResponseException;
import org.banyanstile.server.view.TableSource;

/**
 * Counters and histograms of the request path.
 *
 * @author banyanstile contributors
 */
final class RouterMetrics {

	private final MeterRegistry registry;

	private final MultiGauge endpoints;

	RouterMetrics(MeterRegistry registry) {
		this.registry = registry;
		this.endpoints = MultiGauge.builder("banyanstile_usable_endpoints").register(registry);
	}

	/**
	 * Sets the number of endpoints that may get new requests.
	 * @param usable the endpoints by service
	 */
	void setUsableEndpoints(Map<String, List<RegisteredEndpoint>> usable) {
		List<MultiGauge.Row<?>> rows = new ArrayList<>();
		usable.forEach((service, endpoints) -> {
			for (EndpointRole role : EndpointRole.values()) {
				long count = endpoints.stream().filter((endpoint) -> endpoint.role() == role).count();
				rows.add(MultiGauge.Row.of(Tags.of("service", service, "phase", role.name().toLowerCase(Locale.ROOT)),
						count));
			}
		});
		this.endpoints.register(rows, true);
	}

	/**
	 * Registers the counter of suppressed log lines.
	 * @param log the log
	 */
	void bindSuppressedLines(DecisionLog log) {
		FunctionCounter.builder("banyanstile_log_lines_left_out_total", log, DecisionLog::suppressedLines)
			.register(this.registry);
	}

	/**
	 * Registers the era of the store.
	 * @param store the store
	 */
	void bindStoreEra(TableSource store) {
		Gauge.builder("banyanstile_store_era", store, TableSource::era).register(this.registry);
	}

	/**
	 * Registers the counters of exchanges that ended without a response.
	 * @param exchanges the exchanges
	 */
	void bindFailedExchanges(OpenExchanges exchanges) {
		FunctionCounter.builder("banyanstile_failed_exchanges_total", exchanges, OpenExchanges::failed)
			.tag("cause", "error")
			.register(this.registry);
		FunctionCounter.builder("banyanstile_failed_exchanges_total", exchanges, OpenExchanges::overdue)
			.tag("cause", "deadline")
			.register(this.registry);
	}

	/**
	 * Registers the budget for bodies and its use.
	 * @param bodies the budget
	 */
	void bindBodies(BodyBudget bodies) {
		for (String kind : List.of("request", "response")) {
			Gauge.builder("banyanstile_body_budget_bytes", bodies, BodyBudget::capacity)
				.tag("kind", kind)
				.register(this.registry);
			bodyRejections(kind);
		}
		Gauge.builder("banyanstile_body_bytes", bodies, BodyBudget::requestBytes)
			.tag("kind", "request")
			.register(this.registry);
		Gauge.builder("banyanstile_body_bytes", bodies, BodyBudget::responseBytes)
			.tag("kind", "response")
			.register(this.registry);
	}

	void bindWaitingBodies(RequestBodies bodies, ToDoubleFunction<RequestBodies> waiting) {
		Gauge.builder("banyanstile_waiting_request_bodies", bodies, waiting).register(this.registry);
	}

	void bodyRejected(String kind) {
		bodyRejections(kind).increment();
	}

	private Counter bodyRejections(String kind) {
		return this.registry.counter("banyanstile_body_rejections_total", "kind", kind);
	}

	/**
	 * Counts a response that was refused for its framing. Other failures do not count.
	 * @param endpoint the endpoint that sent it
	 * @param failure the failure of the exchange
	 */
	void exchangeFailed(String endpoint, Throwable failure) {
		if (failure instanceof MalformedResponseException malformed) {
			this.registry
				.counter("banyanstile_malformed_responses_total", "endpoint", endpoint, "fault",
						malformed.fault().label())
				.increment();
		}
	}

	/**
	 * Records the outcome of a request and its latency.
	 * @param kind kind of the route
	 * @param outcome {@code answered}, or the status of the rejection
	 * @param millis time from the arrival of the request
	 */
	void completed(String kind, String outcome, long millis) {
		Timer.builder("banyanstile_request_seconds")
			.tag("kind", kind)
			.tag("outcome", outcome)
			.publishPercentileHistogram(false)
			.serviceLevelObjectives(Duration.ofMillis(100), Duration.ofMillis(300), Duration.ofMillis(900),
					Duration.ofMillis(3000), Duration.ofMillis(9000))
			.register(this.registry)
			.record(millis, TimeUnit.MILLISECONDS);
	}

	void firstEvent(String kind, long millis) {
		Timer.builder("banyanstile_first_event_seconds")
			.tag("kind", kind)
			.serviceLevelObjectives(Duration.ofMillis(300), Duration.ofMillis(450), Duration.ofMillis(900),
					Duration.ofMillis(3000))
			.register(this.registry)
			.record(millis, TimeUnit.MILLISECONDS);
	}

	/**
	 * Registers the number of endpoints that joined and wait for their first request.
	 * @param requests the first requests
	 */
	void bindFirstRequests(FirstRequests requests) {
		Gauge.builder("banyanstile_endpoints_without_request", requests, FirstRequests::waiting)
			.register(this.registry);
	}

	/**
	 * Records how long an endpoint that joined waited for its first request of this VM.
	 * @param millis the time in milliseconds
	 */
	void firstRequest(long millis) {
		Timer.builder("banyanstile_first_request_seconds")
			.serviceLevelObjectives(Duration.ofMillis(250), Duration.ofMillis(1000), Duration.ofMillis(2000),
					Duration.ofMillis(4000), Duration.ofMillis(9000))
			.register(this.registry)
			.record(millis, TimeUnit.MILLISECONDS);
	}

	void longestPause(String kind, long millis) {
		Timer.builder("banyanstile_longest_pause_seconds")
			.tag("kind", kind)
			.serviceLevelObjectives(Duration.ofMillis(100), Duration.ofMillis(200), Duration.ofMillis(300),
					Duration.ofMillis(1000))
			.register(this.registry)
			.record(millis, TimeUnit.MILLISECONDS);
	}

	// Not labelled with the reason, which may contain the id of an endpoint and would
	// create a time series for each.
	void refused(int status) {
		this.registry.counter("banyanstile_refusals_total", "status", Integer.toString(status)).increment();
	}

	void retry(boolean allowed) {
		this.registry.counter("banyanstile_repeats_total", "allowed", Boolean.toString(allowed)).increment();
	}

	void reservation(String outcome) {
		this.registry.counter("banyanstile_reservations_total", "outcome", outcome).increment();
	}

	void wastedPrompt(long tokens) {
		this.registry.counter("banyanstile_wasted_prompt_tokens_total").increment(tokens);
	}

	void requestLimitReached() {
		this.registry.counter("banyanstile_request_limit_reached_total").increment();
	}

	void quarantineRefusal() {
		this.registry.counter("banyanstile_quarantine_refusals_total").increment();
	}

	void attemptOutcome(String outcome) {
		this.registry.counter("banyanstile_endpoint_outcomes_total", "outcome", outcome).increment();
	}

}
