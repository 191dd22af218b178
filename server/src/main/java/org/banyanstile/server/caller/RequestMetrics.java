package org.banyanstile.server.caller;

import java.time.Duration;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;

/**
 * Counters and timers of every decision about a request.
 *
 * @author banyanstile contributors
 */
public final class RequestMetrics {

	private static final long FIRST_TOKEN_TARGET_NANOS = Duration.ofMillis(450).toNanos();

	private static final long INTER_TOKEN_TARGET_NANOS = Duration.ofMillis(26).toNanos();

	private final MeterRegistry registry;

	private RequestMetrics(MeterRegistry registry) {
		this.registry = registry;
	}

	/**
	 * Creates the meters.
	 * @param registry the registry
	 * @return the meters
	 */
	public static RequestMetrics create(MeterRegistry registry) {
		return new RequestMetrics(registry);
	}

	void accepted(RequestLabels labels) {
		count("banyanstile.requests.accepted", labels);
	}

	void answered(RequestLabels labels) {
		count("banyanstile.requests.answered", labels);
	}

	void refused(RequestLabels labels, RequestException ex) {
		this.registry
			.counter("banyanstile.requests.refused",
					labels.tags().and("type", ex.type().wireName()).and("run", ex.run().wireName()))
			.increment();
		if (isServiceFault(ex.type())) {
			objective(labels, false);
		}
	}

	private static boolean isServiceFault(ErrorType type) {
		return switch (type) {
			case OVERLOADED, NOT_SERVING, STORE_UNAVAILABLE, OUTCOME_UNKNOWN, STREAM_LOST -> true;
			default -> false;
		};
	}

	/**
	 * Counts an answer against both latency targets.
	 * @param labels the labels
	 * @param firstTokenNanos time to the first token
	 * @param meanGapNanos mean time between tokens
	 */
	void answeredInTime(RequestLabels labels, long firstTokenNanos, long meanGapNanos) {
		objective(labels, firstTokenNanos <= FIRST_TOKEN_TARGET_NANOS && meanGapNanos <= INTER_TOKEN_TARGET_NANOS);
	}

	void objective(RequestLabels labels, boolean met) {
		this.registry.counter("banyanstile.objective", labels.tags().and("result", met ? "met" : "missed")).increment();
	}

	void superseded(RequestLabels labels) {
		count("banyanstile.requests.superseded", labels);
	}

	void replayed(RequestLabels labels) {
		count("banyanstile.requests.replayed", labels);
	}

	void resumed(RequestLabels labels, int times) {
		if (times > 0) {
			this.registry.counter("banyanstile.streams.resumed", labels.tags()).increment(times);
		}
	}

	void cancelled(RequestLabels labels) {
		count("banyanstile.requests.cancelled", labels);
	}

	void prefillDone(RequestLabels labels, int tokens) {
		this.registry.counter("banyanstile.prefill.tokens", labels.tags()).increment(tokens);
	}

	void prefillWasted(RequestLabels labels, int tokens) {
		count("banyanstile.prefill.wasted", labels);
		this.registry.counter("banyanstile.prefill.wasted.tokens", labels.tags()).increment(tokens);
	}

	void transferRerouted(RequestLabels labels) {
		count("banyanstile.transfers.rerouted", labels);
	}

	void retried(RequestLabels labels) {
		count("banyanstile.requests.retried", labels);
	}

	Timer firstToken(RequestLabels labels) {
		return timer("banyanstile.first.token", labels);
	}

	Timer interToken(RequestLabels labels) {
		return timer("banyanstile.inter.token", labels);
	}

	private Timer timer(String name, RequestLabels labels) {
		return Timer.builder(name).tags(labels.tags()).publishPercentileHistogram(false).register(this.registry);
	}

	private void count(String name, RequestLabels labels) {
		this.registry.counter(name, labels.tags()).increment();
	}

}
