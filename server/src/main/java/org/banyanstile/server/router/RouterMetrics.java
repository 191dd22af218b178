package org.banyanstile.server.router;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.MultiGauge;
import io.micrometer.core.instrument.Tags;
import io.micrometer.core.instrument.Timer;
import org.banyanstile.core.catalog.EndpointPhase;
import org.banyanstile.core.catalog.RegisteredEndpoint;

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
	 * Sets how many endpoints may get new work.
	 * @param usable the endpoints by service
	 */
	void usable(Map<String, List<RegisteredEndpoint>> usable) {
		List<MultiGauge.Row<?>> rows = new ArrayList<>();
		usable.forEach((service, endpoints) -> {
			for (EndpointPhase phase : EndpointPhase.values()) {
				long count = endpoints.stream().filter((endpoint) -> endpoint.phase() == phase).count();
				rows.add(MultiGauge.Row.of(Tags.of("service", service, "phase", phase.name().toLowerCase(Locale.ROOT)),
						count));
			}
		});
		this.endpoints.register(rows, true);
	}

	/**
	 * Counts the log lines that went beyond their budget.
	 * @param log the log
	 */
	void watch(DecisionLog log) {
		FunctionCounter.builder("banyanstile_log_lines_left_out_total", log, DecisionLog::leftOut)
			.register(this.registry);
	}

	/**
	 * Counts an answer and its latency.
	 * @param kind kind of the route
	 * @param outcome status class, or why there was no answer
	 * @param millis time from the arrival of the request
	 */
	void answered(String kind, String outcome, long millis) {
		Timer.builder("banyanstile_request_seconds")
			.tag("kind", kind)
			.tag("outcome", outcome)
			.publishPercentileHistogram(false)
			.serviceLevelObjectives(Duration.ofMillis(100), Duration.ofMillis(300), Duration.ofMillis(900),
					Duration.ofMillis(3000), Duration.ofMillis(9000))
			.register(this.registry)
			.record(millis, TimeUnit.MILLISECONDS);
	}

	void firstByte(String kind, long millis) {
		Timer.builder("banyanstile_first_event_seconds")
			.tag("kind", kind)
			.serviceLevelObjectives(Duration.ofMillis(300), Duration.ofMillis(450), Duration.ofMillis(900),
					Duration.ofMillis(3000))
			.register(this.registry)
			.record(millis, TimeUnit.MILLISECONDS);
	}

	// Reasons name endpoints, so they would make a counter each.
	void refused(int status) {
		this.registry.counter("banyanstile_refusals_total", "status", Integer.toString(status)).increment();
	}

	void repeat(boolean allowed) {
		this.registry.counter("banyanstile_repeats_total", "allowed", Boolean.toString(allowed)).increment();
	}

	void reservation(String outcome) {
		this.registry.counter("banyanstile_reservations_total", "outcome", outcome).increment();
	}

	void wastedPrompt(long tokens) {
		this.registry.counter("banyanstile_wasted_prompt_tokens_total").increment(tokens);
	}

	void outcome(String what) {
		this.registry.counter("banyanstile_endpoint_outcomes_total", "outcome", what).increment();
	}

}
