package org.banyanstile.server.scheduling;

import java.util.concurrent.TimeUnit;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;

/**
 * Counters of the fleet's scheduler.
 *
 * @author banyanstile contributors
 */
final class SchedulerMetrics {

	private final MeterRegistry registry;

	SchedulerMetrics(MeterRegistry registry) {
		this.registry = registry;
	}

	void bindHost(SchedulerHost host) {
		Gauge.builder("banyanstile_scheduled_groups", host, SchedulerHost::groups).register(this.registry);
		Gauge.builder("banyanstile_scheduled_waiting_requests", host, SchedulerHost::waiting).register(this.registry);
	}

	void decision(String outcome) {
		this.registry.counter("banyanstile_scheduler_decisions_total", "outcome", outcome).increment();
	}

	void waited(String outcome, long millis) {
		Timer.builder("banyanstile_scheduler_wait_seconds")
			.tag("outcome", outcome)
			.register(this.registry)
			.record(millis, TimeUnit.MILLISECONDS);
	}

	void refusedByEngine() {
		this.registry.counter("banyanstile_scheduler_engine_refusals_total").increment();
	}

	void schedulerAvoided() {
		this.registry.counter("banyanstile_schedulers_avoided_total").increment();
	}

	void unknownPlacement() {
		this.registry.counter("banyanstile_scheduler_unknown_placements_total").increment();
	}

	void sent(int bytes) {
		datagram("sent", bytes);
	}

	void received(int bytes) {
		datagram("received", bytes);
	}

	private void datagram(String direction, int bytes) {
		this.registry.counter("banyanstile_scheduler_datagrams_total", "direction", direction).increment();
		this.registry.counter("banyanstile_scheduler_bytes_total", "direction", direction).increment(bytes);
	}

	void malformed() {
		this.registry.counter("banyanstile_scheduler_malformed_datagrams_total").increment();
	}

}
