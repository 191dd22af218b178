package org.banyanstile.server.router;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.IntSupplier;

import io.micrometer.core.instrument.MeterRegistry;
import org.banyanstile.core.catalog.EndpointPhase;
import org.banyanstile.core.catalog.RegisteredEndpoint;
import org.banyanstile.core.catalog.ServedService;
import org.banyanstile.core.limit.ColdRate;
import org.banyanstile.core.limit.RetryShare;
import org.banyanstile.core.placement.AdmissionLine;
import org.banyanstile.core.placement.EndpointHealth;
import org.banyanstile.core.placement.EndpointLoads;
import org.banyanstile.core.placement.EndpointPicker;
import org.banyanstile.core.placement.PhaseChanges;
import org.banyanstile.server.view.FleetView;

/**
 * What requests share on a VM. Lock order: cold rates, retry shares; neither is held
 * during I/O.
 *
 * @author banyanstile contributors
 */
final class RouterServices {

	/**
	 * Requests of a VM that try to reserve memory at once while others wait.
	 */
	private static final int LINE_WIDTH = 2;

	private volatile RouterSettings settings;

	private final FleetView view;

	private final PhaseChanges changes;

	private final RequestProtocol protocol;

	private final EngineCalls engines;

	private final EndpointLoads loads;

	private final EndpointHealth health;

	private final EndpointPicker picker;

	private final EndpointClient client;

	private final IntSupplier vms;

	private final DecisionLog log;

	private final RouterMetrics metrics;

	private final Map<String, AdmissionLine> lines = new ConcurrentHashMap<>();

	private final Map<String, RetryShare> retries = new HashMap<>();

	private final Map<String, ColdRate> colds = new HashMap<>();

	RouterServices(RouterSettings settings, FleetView view, PhaseChanges changes, RequestProtocol protocol,
			EngineCalls engines, EndpointLoads loads, EndpointHealth health, EndpointPicker picker,
			EndpointClient client, IntSupplier vms, DecisionLog log, MeterRegistry registry) {
		this.settings = settings;
		this.view = view;
		this.changes = changes;
		this.protocol = protocol;
		this.engines = engines;
		this.loads = loads;
		this.health = health;
		this.picker = picker;
		this.client = client;
		this.vms = vms;
		this.log = log;
		this.metrics = new RouterMetrics(registry);
		this.metrics.watch(log);
	}

	FleetView view() {
		return this.view;
	}

	/**
	 * Returns the engines that take work of one part.
	 * @param service name of the service
	 * @param phase the part
	 * @return the engines, without those that change their part
	 */
	List<RegisteredEndpoint> engines(String service, EndpointPhase phase) {
		long now = System.nanoTime();
		return this.view.snapshot()
			.usable(service, phase)
			.stream()
			.filter((engine) -> !this.changes.isChanging(engine, now))
			.toList();
	}

	/**
	 * Returns whether an engine that was chosen before still takes work.
	 * @param engine the engine
	 * @return whether it does
	 */
	boolean takesWork(RegisteredEndpoint engine) {
		return this.view.snapshot().isUsable(engine) && !this.changes.isChanging(engine, System.nanoTime());
	}

	RequestProtocol protocol() {
		return this.protocol;
	}

	EngineCalls engines() {
		return this.engines;
	}

	EndpointLoads loads() {
		return this.loads;
	}

	EndpointHealth health() {
		return this.health;
	}

	EndpointPicker picker() {
		return this.picker;
	}

	EndpointClient client() {
		return this.client;
	}

	DecisionLog log() {
		return this.log;
	}

	RouterMetrics metrics() {
		return this.metrics;
	}

	AdmissionLine line(String service) {
		return this.lines.computeIfAbsent(service, (name) -> AdmissionLine.create(LINE_WIDTH));
	}

	/**
	 * Applies other figures. A changed window of the retry budget begins anew, as after a
	 * restart.
	 * @param next the figures
	 */
	void apply(RouterSettings next) {
		synchronized (this.retries) {
			if (!next.retryWindow().equals(this.settings.retryWindow())) {
				this.retries.clear();
			}
			this.settings = next;
		}
	}

	void countRequest(String service) {
		synchronized (this.retries) {
			retries(service).request(System.nanoTime());
		}
	}

	/**
	 * Takes a repeat from this VM's share of the retry budget.
	 * @param service name of the service
	 * @return whether the repeat is allowed
	 */
	boolean tryRepeat(String service) {
		boolean allowed;
		synchronized (this.retries) {
			allowed = retries(service).tryRepeat(this.settings.retryRatio(), this.settings.retryExtra(),
					this.vms.getAsInt(), System.nanoTime());
		}
		this.metrics.repeat(allowed);
		return allowed;
	}

	private RetryShare retries(String service) {
		return this.retries.computeIfAbsent(service,
				(name) -> RetryShare.create(this.settings.retryWindow().toNanos()));
	}

	/**
	 * Takes a request to an endpoint from this VM's share of what it can take while it is
	 * cold.
	 * @param endpoint the endpoint
	 * @return whether it may get the request
	 */
	boolean mayTakeCold(RegisteredEndpoint endpoint) {
		var catalog = this.view.snapshot().catalog();
		ServedService service = (catalog != null) ? catalog.service(endpoint.service()) : null;
		if (service == null || service.coldPerSecond() <= 0 || !this.view.isCold(endpoint.id())) {
			return true;
		}
		synchronized (this.colds) {
			if (this.colds.size() > 1000) {
				this.colds.clear();
			}
			long now = System.nanoTime();
			return this.colds.computeIfAbsent(endpoint.id(), (id) -> ColdRate.create(now))
				.tryTake(service.coldPerSecond(), this.vms.getAsInt(), now);
		}
	}

}
