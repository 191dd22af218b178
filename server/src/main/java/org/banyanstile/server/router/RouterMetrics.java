package org.banyanstile.server.router;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;

/**
 * Counters and histograms of the request path.
 *
 * @author banyanstile contributors
 */
final class RouterMetrics {

	private final MeterRegistry registry;

	RouterMetrics(MeterRegistry registry) {
		this.registry = registry;
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

	void refused(String reason) {
		this.registry.counter("banyanstile_refusals_total", "reason", reason).increment();
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
