package org.banyanstile.server;

import java.util.concurrent.atomic.LongAdder;
import java.util.function.BooleanSupplier;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import org.banyanstile.server.platform.Coordination;
import org.banyanstile.server.platform.CoordinationLoop;
import org.banyanstile.server.vm.VmCounters;

/**
 * Registers the metrics of the coordination of this VM.
 *
 * @author banyanstile contributors
 */
final class FleetMetrics {

	private FleetMetrics() {
	}

	static void bind(MeterRegistry registry, Coordination coordination, CoordinationLoop loop, VmCounters vms,
			BooleanSupplier serving) {
		Gauge.builder("banyanstile.serving", serving, (check) -> check.getAsBoolean() ? 1 : 0).register(registry);
		Gauge.builder("banyanstile.store.age.millis", coordination, Coordination::storeAgeMillis).register(registry);
		Gauge.builder("banyanstile.vms.registered", coordination, (state) -> state.registered().size())
			.register(registry);
		Gauge.builder("banyanstile.vms.reporting", coordination, (state) -> state.reports().size()).register(registry);
		Gauge.builder("banyanstile.partitions.owned", coordination, (state) -> state.owned().size()).register(registry);
		counter(registry, "banyanstile.store.calls", loop.storeCalls());
		counter(registry, "banyanstile.store.failures", loop.storeFailures());
		counter(registry, "banyanstile.vm.frames.malformed", vms.malformedFrames());
		counter(registry, "banyanstile.vm.handshakes.failed", vms.failedHandshakes());
		counter(registry, "banyanstile.vm.connections.refused", vms.refusedConnections());
		counter(registry, "banyanstile.vm.connections.broken", vms.brokenConnections());
		counter(registry, "banyanstile.vm.messages.dropped", vms.droppedMessages());
		counter(registry, "banyanstile.vm.bytes.sent", vms.bytesSent());
	}

	private static void counter(MeterRegistry registry, String name, LongAdder adder) {
		FunctionCounter.builder(name, adder, LongAdder::sum).register(registry);
	}

}
