package org.banyanstile.server.router;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.banyanstile.core.canary.ExposureBounds;
import org.banyanstile.core.catalog.EndpointRole;
import org.banyanstile.core.catalog.RegisteredEndpoint;
import org.banyanstile.core.catalog.ServedService;
import org.banyanstile.core.limit.BodyBudget;
import org.banyanstile.core.limit.ColdRate;
import org.banyanstile.core.limit.EndpointLimits;
import org.banyanstile.core.limit.FleetPosition;
import org.banyanstile.core.limit.RetryShare;
import org.banyanstile.core.placement.AdmissionQueue;
import org.banyanstile.core.placement.EndpointHealth;
import org.banyanstile.core.placement.EndpointLoads;
import org.banyanstile.core.placement.EndpointPicker;
import org.banyanstile.core.placement.PrefillSpeeds;
import org.banyanstile.core.placement.RoleChanges;
import org.banyanstile.core.quarantine.CrashQuarantine;
import org.banyanstile.core.quarantine.TrialLock;
import org.banyanstile.server.canary.Rollouts;
import org.banyanstile.server.scheduling.SchedulerClient;
import org.banyanstile.server.view.FleetTable;
import org.banyanstile.server.view.FleetView;
import org.jspecify.annotations.Nullable;

/**
 * Components that all requests on a VM share. Lock order: cold rates, retry shares;
 * neither is held during I/O.
 *
 * @author banyanstile contributors
 */
final class RouterServices {

	/**
	 * Queued requests of a VM that may try to reserve memory at the same time; the others
	 * wait.
	 */
	private static final int MAX_RESERVING_REQUESTS = 2;

	/**
	 * Age of a request up to which it waits for the new version of its service during a
	 * rollout.
	 */
	private static final long MAX_NEW_VERSION_WAIT_MILLIS = 400;

	private volatile RouterSettings settings;

	private final FleetView view;

	private final RoleChanges roleChanges;

	private final RequestProtocol protocol;

	private final EngineCalls engineCalls;

	private final EndpointLoads loads;

	private final EndpointHealth health;

	private final EndpointPicker picker;

	private final PrefillSpeeds prefillSpeeds = new PrefillSpeeds();

	private final EngineObservations observations = new EngineObservations();

	private final EndpointClient client;

	private final EndpointLimits limits;

	private final FleetPosition position;

	private final CrashQuarantine quarantine;

	private final TrialLock trialLock;

	private final FleetPosition registeredPosition;

	private final BodyBudget bodies;

	private final DecisionLog log;

	private final RouterMetrics metrics;

	private final Rollouts rollouts;

	private final StreamVersions streamVersions;

	private final FirstRequests firstRequests;

	private volatile @Nullable SchedulerClient scheduler;

	private final Map<String, AdmissionQueue> admissionQueues = new ConcurrentHashMap<>();

	private final Map<String, RetryShare> retryShares = new HashMap<>();

	private final Map<String, ColdRate> coldRates = new HashMap<>();

	RouterServices(RouterSettings settings, FleetView view, RoleChanges roleChanges, RequestProtocol protocol,
			EngineCalls engineCalls, EndpointLoads loads, EndpointHealth health, EndpointPicker picker,
			EndpointClient client, EndpointLimits limits, FleetPosition position, CrashQuarantine quarantine,
			TrialLock trialLock, FleetPosition registeredPosition, BodyBudget bodies, DecisionLog log,
			RouterMetrics metrics, Rollouts rollouts, StreamVersions streamVersions) {
		this.streamVersions = streamVersions;
		this.settings = settings;
		this.view = view;
		this.roleChanges = roleChanges;
		this.protocol = protocol;
		this.engineCalls = engineCalls;
		this.loads = loads;
		this.health = health;
		this.picker = picker;
		this.client = client;
		this.limits = limits;
		this.position = position;
		this.quarantine = quarantine;
		this.trialLock = trialLock;
		this.registeredPosition = registeredPosition;
		this.bodies = bodies;
		this.log = log;
		this.rollouts = rollouts;
		this.metrics = metrics;
		this.metrics.bindSuppressedLines(log);
		this.metrics.bindBodies(bodies);
		this.firstRequests = FirstRequests.create(this.metrics::firstRequest);
		this.metrics.bindFirstRequests(this.firstRequests);
		view.onChange(this::updateFirstRequests);
	}

	private void updateFirstRequests(FleetTable table) {
		if (table == FleetTable.ENDPOINTS) {
			List<String> usable = this.view.snapshot()
				.usable()
				.values()
				.stream()
				.flatMap(List::stream)
				.map(RegisteredEndpoint::id)
				.toList();
			this.firstRequests.update(usable, System.nanoTime());
		}
	}

	/**
	 * Records that a request is about to be sent to an endpoint.
	 * @param endpoint the endpoint
	 */
	void recordRequest(RegisteredEndpoint endpoint) {
		this.firstRequests.sent(endpoint.id(), System.nanoTime());
		this.rollouts.sent(endpoint);
	}

	FleetView view() {
		return this.view;
	}

	/**
	 * Returns the endpoints of a plain service that may get a request, of the version
	 * that the request is assigned to during a rollout.
	 * @param call the request
	 * @return the endpoints
	 */
	List<RegisteredEndpoint> endpoints(RouterCall call) {
		return allowed(call, this.view.snapshot().usable(call.service(), EndpointRole.PLAIN));
	}

	/**
	 * Returns the decode engines that may get a request, of the version that the request
	 * is assigned to during a rollout.
	 * @param call the request
	 * @return the engines, without those that are changing their role
	 */
	List<RegisteredEndpoint> decodeEngines(RouterCall call) {
		return allowed(call, engines(call.service(), EndpointRole.DECODE));
	}

	/**
	 * Returns the decode engines that may continue a stream.
	 * @param service name of the service
	 * @param version software version of the engine that began the stream
	 * @return the engines, without those that are changing their role
	 */
	List<RegisteredEndpoint> decodeEngines(String service, String version) {
		return engines(service, EndpointRole.DECODE).stream()
			.filter((engine) -> engine.version().equals(version) && this.rollouts.isAllowed(engine))
			.toList();
	}

	// A request that the new version has not served soon is not held up by it.
	private List<RegisteredEndpoint> allowed(RouterCall call, List<RegisteredEndpoint> candidates) {
		if (call.isSent() || call.ageMillis() > MAX_NEW_VERSION_WAIT_MILLIS) {
			call.versions().fallBack();
		}
		return this.rollouts.allowed(call.service(), candidates, call.versions());
	}

	/**
	 * Returns the prefill engines whose KV cache a decode engine may continue from: those
	 * of the same software version.
	 * @param call the request
	 * @param decodeEngine the decode engine
	 * @return the engines, without those that are changing their role
	 */
	List<RegisteredEndpoint> prefillEngines(RouterCall call, RegisteredEndpoint decodeEngine) {
		return this.rollouts.allowed(call.service(), engines(call.service(), EndpointRole.PREFILL), call.versions())
			.stream()
			.filter((engine) -> engine.hasVersionOf(decodeEngine))
			.toList();
	}

	/**
	 * Returns the usable engines of one role, of all versions of the service.
	 * @param service name of the service
	 * @param role the role
	 * @return the engines, without those that are changing their role
	 */
	List<RegisteredEndpoint> engines(String service, EndpointRole role) {
		long now = System.nanoTime();
		return this.view.snapshot()
			.usable(service, role)
			.stream()
			.filter((engine) -> !this.roleChanges.isChanging(engine, now))
			.toList();
	}

	Rollouts rollouts() {
		return this.rollouts;
	}

	StreamVersions streamVersions() {
		return this.streamVersions;
	}

	/**
	 * Returns whether an engine that was chosen earlier is still usable and not changing
	 * its role.
	 * @param engine the engine
	 * @return whether it is
	 */
	boolean isUsableInCurrentRole(RegisteredEndpoint engine) {
		return this.view.snapshot().isUsable(engine) && this.rollouts.isAllowed(engine)
				&& !this.roleChanges.isChanging(engine, System.nanoTime());
	}

	/**
	 * Sets the client of the fleet's scheduler. Called before the first request.
	 * @param client the client
	 */
	void useScheduler(SchedulerClient client) {
		this.scheduler = client;
	}

	/**
	 * Returns the client of the fleet's scheduler.
	 * @return the client, or {@code null} if each VM places its own generations
	 */
	@Nullable
	SchedulerClient scheduler() {
		return this.scheduler;
	}

	RequestProtocol protocol() {
		return this.protocol;
	}

	EngineCalls engineCalls() {
		return this.engineCalls;
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

	PrefillSpeeds prefillSpeeds() {
		return this.prefillSpeeds;
	}

	EngineObservations observations() {
		return this.observations;
	}

	/**
	 * Returns whether VMs plan admission, roles and the choice of endpoints together.
	 * @return whether they do
	 */
	boolean fleetAdmission() {
		return this.settings.fleetAdmission();
	}

	EndpointClient client() {
		return this.client;
	}

	CrashQuarantine quarantine() {
		return this.quarantine;
	}

	TrialLock trialLock() {
		return this.trialLock;
	}

	FleetPosition position() {
		return this.position;
	}

	BodyBudget bodies() {
		return this.bodies;
	}

	DecisionLog log() {
		return this.log;
	}

	RouterMetrics metrics() {
		return this.metrics;
	}

	AdmissionQueue admissionQueue(String service) {
		return this.admissionQueues.computeIfAbsent(service, (name) -> AdmissionQueue.create(MAX_RESERVING_REQUESTS));
	}

	/**
	 * Applies new settings. If the window of the retry budget changes, the budget starts
	 * afresh as after a restart.
	 * @param newSettings the new settings
	 */
	void apply(RouterSettings newSettings) {
		synchronized (this.retryShares) {
			if (!newSettings.retryWindow().equals(this.settings.retryWindow())) {
				this.retryShares.clear();
			}
			this.settings = newSettings;
		}
	}

	ExposureBounds exposure() {
		return this.settings.exposure();
	}

	void countRequest(String service) {
		synchronized (this.retryShares) {
			retryShare(service).request(System.nanoTime());
		}
	}

	/**
	 * Takes a retry from this VM's share of the retry budget.
	 * @param service name of the service
	 * @return whether the retry is allowed
	 */
	boolean tryAcquireRetry(String service) {
		boolean allowed;
		synchronized (this.retryShares) {
			allowed = retryShare(service).tryRetry(this.settings.retryRatio(), this.settings.retryExtra(),
					this.registeredPosition.of(service).vms(), System.nanoTime());
		}
		this.metrics.retry(allowed);
		return allowed;
	}

	private RetryShare retryShare(String service) {
		return this.retryShares.computeIfAbsent(service,
				(name) -> RetryShare.create(this.settings.retryWindow().toNanos()));
	}

	/**
	 * If an endpoint is cold or has named a request limit, takes a request from this VM's
	 * share of the endpoint's request rate.
	 * @param endpoint the endpoint
	 * @return whether the endpoint may get the request, {@code false} also if it has
	 * asked this VM to wait
	 */
	boolean tryAcquireRate(RegisteredEndpoint endpoint) {
		if (this.health.isWaitAsked(endpoint.id(), System.nanoTime()) || !tryAcquireColdRate(endpoint)) {
			return false;
		}
		boolean allowed = this.limits.tryTake(endpoint.id(), this.position, System.nanoTime());
		if (!allowed) {
			this.metrics.requestLimitReached();
		}
		return allowed;
	}

	/**
	 * Returns the request limit that an endpoint has named.
	 * @param endpoint id of the endpoint
	 * @return the requests a second from all VMs, {@link EndpointLimits#UNLIMITED} if it
	 * has none
	 */
	double requestLimit(String endpoint) {
		return this.limits.perSecond(endpoint, System.nanoTime());
	}

	private boolean tryAcquireColdRate(RegisteredEndpoint endpoint) {
		var catalog = this.view.snapshot().catalog();
		ServedService service = (catalog != null) ? catalog.service(endpoint.service()) : null;
		if (service == null || service.coldPerSecond() <= 0 || !this.view.isCold(endpoint.id())) {
			return true;
		}
		synchronized (this.coldRates) {
			if (this.coldRates.size() > 1000) {
				this.coldRates.clear();
			}
			long now = System.nanoTime();
			return this.coldRates.computeIfAbsent(endpoint.id(), (id) -> ColdRate.create(now))
				.tryTake(service.coldPerSecond(), this.registeredPosition.of(endpoint.id()), now);
		}
	}

}
