package org.banyanstile.server.caller;

import java.time.Duration;
import java.util.Locale;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import org.banyanstile.core.burn.BurnCounters;
import org.banyanstile.core.burn.BurnKey;
import org.banyanstile.core.burn.Cause;
import org.banyanstile.core.common.Ticker;
import org.jspecify.annotations.Nullable;

/**
 * Counters and timers for requests.
 *
 * @author banyanstile contributors
 */
public final class RequestMetrics {

	private static final long FIRST_TOKEN_TARGET_NANOS = Duration.ofMillis(450).toNanos();

	private static final long INTER_TOKEN_TARGET_NANOS = Duration.ofMillis(26).toNanos();

	private final MeterRegistry registry;

	private final BurnCounters burn;

	private final Ticker ticker;

	private RequestMetrics(MeterRegistry registry, BurnCounters burn, Ticker ticker) {
		this.registry = registry;
		this.burn = burn;
		this.ticker = ticker;
	}

	/**
	 * Creates the meters.
	 * @param registry the registry
	 * @param burn counters of the error budget
	 * @param ticker time source of the counters
	 * @return the meters
	 */
	public static RequestMetrics create(MeterRegistry registry, BurnCounters burn, Ticker ticker) {
		return new RequestMetrics(registry, burn, ticker);
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
		Cause cause = cause(ex.type());
		if (cause != null) {
			objective(labels, cause);
		}
	}

	private static @Nullable Cause cause(ErrorType type) {
		return switch (type) {
			case OVERLOADED, NOT_SERVING, STORE_UNAVAILABLE -> Cause.REFUSED_WITHIN_RATE;
			case OUTCOME_UNKNOWN, STREAM_LOST -> Cause.LOST_ANSWER;
			default -> null;
		};
	}

	/**
	 * Records whether a response met the latency targets for the first token and between
	 * tokens.
	 * @param labels the labels
	 * @param firstTokenNanos time to the first token
	 * @param meanGapNanos mean time between tokens
	 */
	void recordLatency(RequestLabels labels, long firstTokenNanos, long meanGapNanos) {
		if (firstTokenNanos > FIRST_TOKEN_TARGET_NANOS) {
			objective(labels, Cause.LATE_FIRST_TOKEN);
		}
		else {
			objective(labels, (meanGapNanos > INTER_TOKEN_TARGET_NANOS) ? Cause.SLOW_DECODE : null);
		}
	}

	/**
	 * Records in the error budget whether a request met its objective.
	 * @param labels the labels
	 * @param missed why it missed its objective, or {@code null} if it met it
	 */
	void objective(RequestLabels labels, @Nullable Cause missed) {
		String result = (missed != null) ? missed.name().toLowerCase(Locale.ROOT) : "met";
		this.registry.counter("banyanstile.objective", labels.tags().and("result", result)).increment();
		BurnKey key = labels.burnKey();
		if (missed != null) {
			this.burn.bad(key, missed, this.ticker.nanos());
		}
		else {
			this.burn.good(key, this.ticker.nanos());
		}
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
		this.burn.event(labels.burnKey(), Cause.WASTED_PREFILL, this.ticker.nanos());
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
