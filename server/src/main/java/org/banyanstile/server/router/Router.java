package org.banyanstile.server.router;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HexFormat;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import org.banyanstile.core.catalog.Catalog;
import org.banyanstile.core.catalog.EndpointRole;
import org.banyanstile.core.catalog.RegisteredEndpoint;
import org.banyanstile.core.common.Ticker;
import org.banyanstile.core.limit.BodyBudget;
import org.banyanstile.core.limit.EndpointLimits;
import org.banyanstile.core.limit.FleetPosition;
import org.banyanstile.core.limit.LimitReport;
import org.banyanstile.core.placement.EndpointHealth;
import org.banyanstile.core.placement.EndpointLoads;
import org.banyanstile.core.placement.EndpointPicker;
import org.banyanstile.core.placement.LeavingReport;
import org.banyanstile.core.placement.RoleChanges;
import org.banyanstile.core.quarantine.CrashEvidence;
import org.banyanstile.core.quarantine.CrashQuarantine;
import org.banyanstile.core.quarantine.TrialLock;
import org.banyanstile.core.quarantine.TrialRow;
import org.banyanstile.core.quarantine.TrialWrite;
import org.banyanstile.core.scheduling.LeastCostScheduler;
import org.banyanstile.core.stream.ServedVersion;
import org.banyanstile.core.stream.VersionHistory;
import org.banyanstile.io.http.HttpClient;
import org.banyanstile.server.canary.RolloutController;
import org.banyanstile.server.canary.RolloutMetrics;
import org.banyanstile.server.canary.Rollouts;
import org.banyanstile.server.gossip.GossipCrashes;
import org.banyanstile.server.gossip.GossipEngines;
import org.banyanstile.server.gossip.GossipLimit;
import org.banyanstile.server.gossip.GossipLoad;
import org.banyanstile.server.gossip.GossipMember;
import org.banyanstile.server.gossip.GossipNode;
import org.banyanstile.server.gossip.GossipRoleChange;
import org.banyanstile.server.gossip.GossipState;
import org.banyanstile.server.gossip.GossipUse;
import org.banyanstile.server.gossip.GossipVersion;
import org.banyanstile.server.gossip.GossipVersions;
import org.banyanstile.server.gossip.MemberState;
import org.banyanstile.server.gossip.Membership;
import org.banyanstile.server.gossip.VmRegistration;
import org.banyanstile.server.scheduling.SchedulerNode;
import org.banyanstile.server.view.FleetReader;
import org.banyanstile.server.view.FleetTable;
import org.banyanstile.server.view.FleetView;
import org.banyanstile.server.view.RowDecoder;
import org.banyanstile.server.view.TableSource;
import org.banyanstile.server.view.TableSourceException;
import org.jspecify.annotations.Nullable;

/**
 * Router process of a VM whose endpoints register themselves with the platform: copy of
 * the fleet's tables, gossip with other VMs and request path.
 *
 * @author banyanstile contributors
 */
public final class Router implements AutoCloseable {

	/**
	 * Idle time after which connections to endpoints are closed, since an endpoint
	 * accepts only a few connections from all VMs together.
	 */
	private static final Duration MAX_CONNECTION_IDLE = Duration.ofSeconds(2);

	/**
	 * Age at which a scheduler decides at once. The node itself waits for the holdings of
	 * other VMs where there can be any.
	 */
	private static final long SCHEDULER_START_NANOS = 1_000_000_000L;

	private final RouterServices services;

	private final TeamQuotas quotas;

	private final GracefulShutdown shutdown;

	private final DecisionLog log;

	private final FleetReader reader;

	private final VmRegistration registration;

	private final GossipNode gossip;

	private final @Nullable SchedulerNode scheduler;

	private final RequestIntake intake;

	private final RouterServer server;

	private final RoleController roleController;

	private final RolloutController rolloutController;

	private final StreamRecorder streamRecorder;

	private final HttpClient client;

	private Router(RouterServices services, TeamQuotas quotas, GracefulShutdown shutdown, DecisionLog log,
			FleetReader reader, VmRegistration registration, GossipNode gossip, @Nullable SchedulerNode scheduler,
			RequestIntake intake, RouterServer server, RoleController roleController,
			RolloutController rolloutController, StreamRecorder streamRecorder, HttpClient client) {
		this.services = services;
		this.quotas = quotas;
		this.shutdown = shutdown;
		this.log = log;
		this.reader = reader;
		this.registration = registration;
		this.gossip = gossip;
		this.scheduler = scheduler;
		this.intake = intake;
		this.server = server;
		this.roleController = roleController;
		this.rolloutController = rolloutController;
		this.streamRecorder = streamRecorder;
		this.client = client;
	}

	/**
	 * Starts the router.
	 * @param settings deployment settings
	 * @param addresses addresses to listen at
	 * @param peerAddress address for datagrams from other VMs
	 * @param seeds addresses of some other VMs
	 * @param platform what the platform provides
	 * @param log log of decisions
	 * @return the router
	 * @throws IOException if an address cannot be bound
	 */
	public static Router start(RouterSettings settings, RouterAddresses addresses, InetSocketAddress peerAddress,
			Collection<String> seeds, Platform platform, DecisionLog log) throws IOException {
		return start(settings, addresses, peerAddress, seeds, platform,
				BodyBudget.forHeap(Runtime.getRuntime().maxMemory()), log);
	}

	/**
	 * Starts the router with a budget for bodies.
	 * @param settings deployment settings
	 * @param addresses addresses to listen at
	 * @param peerAddress address for datagrams from other VMs
	 * @param seeds addresses of some other VMs
	 * @param platform what the platform provides
	 * @param bodies memory for the bodies of requests and responses
	 * @param log log of decisions
	 * @return the router
	 * @throws IOException if an address cannot be bound
	 */
	public static Router start(RouterSettings settings, RouterAddresses addresses, InetSocketAddress peerAddress,
			Collection<String> seeds, Platform platform, BodyBudget bodies, DecisionLog log) throws IOException {
		Ticker ticker = Ticker.system();
		FleetView view = FleetView.create(platform.decoder(), ticker, log);
		String ownPeerAddress = text(peerAddress);
		Membership membership = Membership.of(new GossipMember(settings.vm(), System.currentTimeMillis(), 0,
				settings.dataCentre(), text(addresses.callers()), ownPeerAddress, MemberState.STARTING.ordinal()));
		EndpointLoads loads = new EndpointLoads();
		EndpointHealth health = new EndpointHealth();
		VmRegistration registration = VmRegistration.create(platform.source(),
				() -> Math.max(platform.source().era(), view.era().number()), membership, ticker, log);
		TeamQuotas quotas = new TeamQuotas(ticker, settings.limitTolerance(), registration::others);
		GracefulShutdown shutdown = GracefulShutdown.of(settings.shutdown(), ticker);
		RoleChanges roleChanges = new RoleChanges();
		EndpointLimits limits = new EndpointLimits();
		CrashQuarantine quarantine = CrashQuarantine.create();
		Rollouts rollouts = Rollouts.create(view, loads, ticker, log);
		PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
		RouterMetrics metrics = new RouterMetrics(registry);
		Consumer<RegisteredEndpoint> leaving = (endpoint) -> view
			.recordLeaving(List.of(new LeavingReport(endpoint.id(), endpoint.startMillis(), 0)));
		platform.engines().onLeaving(leaving);
		metrics.bindStoreEra(platform.source());
		RouterServices services = new RouterServices(settings, view, roleChanges, platform.requests(),
				platform.engines(), loads, health, EndpointPicker.create(loads, health, new Random()),
				new EndpointClient(platform.client(), platform.requests(), health, limits, leaving, log, metrics),
				limits, (key) -> membership.position(key, ticker.nanos()), quarantine,
				TrialLock.of((rows) -> writeTrials(platform.source(), rows), view.era()),
				(key) -> FleetPosition.among(key, settings.vm(), registration.others()), bodies, log, metrics, rollouts,
				StreamVersions.create(view, platform.source(), ticker, log));
		SchedulerNode scheduler = startScheduler(settings, addresses, membership, services, ticker, registry, log);
		LocalGossipState localState = new LocalGossipState(services, view, loads, quotas, roleChanges, limits,
				quarantine, shutdown, ticker, log);
		RolloutMetrics rolloutMetrics = RolloutMetrics.register(rollouts, registry);
		RequestIntake intake = new RequestIntake(services, quotas, shutdown);
		RouterServer server = new RouterServer(services, intake, platform.directory(),
				() -> callerAddresses(membership, shutdown, ticker), shutdown);
		server.start(addresses,
				new OperatorPages(registry::scrape, new RequestExplainer(services, quotas, shutdown, settings.vm())));
		GossipNode gossip = GossipNode.start(peerAddress, membership, view, localState, ticker, log);
		gossip.setSeeds(seeds);
		gossip.setRollouts(rollouts);
		FleetReader reader = FleetReader.create(platform.source(), view, () -> membership.rank(ticker.nanos()), log);
		reader.start();
		registration.start(gossip::setRegistered);
		services.streamVersions()
			.confirmation()
			.askPeers(() -> gossip.isCurrent(FleetTable.ENDPOINTS, registration.others()));
		server.schedule(Duration.ofSeconds(1), () -> {
			platform.client().closeIdle(MAX_CONNECTION_IDLE);
			services.metrics().setUsableEndpoints(view.snapshot().usable());
			rolloutMetrics.update();
		});
		RoleController roleController = new RoleController(settings.vm(), view, platform.source(), platform.engines(),
				loads, roleChanges, services, () -> membership.rank(ticker.nanos()) == 0 && !shutdown.hasBegun(), log);
		roleController.start();
		RolloutController rolloutController = new RolloutController(view, platform.source(), rollouts,
				services::exposure, () -> shutdown.hasBegun() ? Integer.MAX_VALUE : membership.rank(ticker.nanos()),
				() -> names(membership.alivePeers(ticker.nanos())), gossip::announceRollouts, ticker, log);
		rolloutController.start();
		StreamRecorder streamRecorder = StreamRecorder.start(services.streamVersions(), view, platform.source(),
				() -> membership.rank(ticker.nanos()) == 0, () -> membership.alivePeers(ticker.nanos()).size() + 1,
				ticker, log);
		log.lifecycle("started", "vm", settings.vm(), "callers", text(addresses.callers()));
		return new Router(services, quotas, shutdown, log, reader, registration, gossip, scheduler, intake, server,
				roleController, rolloutController, streamRecorder, platform.client());
	}

	private static @Nullable SchedulerNode startScheduler(RouterSettings settings, RouterAddresses addresses,
			Membership membership, RouterServices services, Ticker ticker, MeterRegistry registry, DecisionLog log)
			throws IOException {
		InetSocketAddress address = addresses.scheduler();
		if (!settings.fleetAdmission() || address == null) {
			return null;
		}
		SchedulerNode scheduler = SchedulerNode.start(address, membership, new FleetEngines(services),
				(now) -> LeastCostScheduler.create(now - SCHEDULER_START_NANOS), ticker, registry, log);
		services.useScheduler(scheduler.client());
		return scheduler;
	}

	private static TrialWrite writeTrials(TableSource source, List<TrialRow> rows) throws IOException {
		try {
			return source.writeTrials(rows);
		}
		catch (TableSourceException ex) {
			throw new IOException(ex.getMessage(), ex);
		}
	}

	private static Set<String> names(List<GossipMember> members) {
		return members.stream().map(GossipMember::vm).collect(Collectors.toSet());
	}

	private static String text(InetSocketAddress address) {
		return address.getHostString() + ':' + address.getPort();
	}

	// Returns the live VMs that serve requests, or this VM if there is none, since
	// callers cannot use an empty response.
	private static List<String> callerAddresses(Membership membership, GracefulShutdown shutdown, Ticker ticker) {
		List<String> addresses = new ArrayList<>();
		if (!shutdown.hasBegun()) {
			addresses.add(membership.self().callerAddress());
		}
		for (GossipMember member : membership.alivePeers(ticker.nanos())) {
			if (member.state() == MemberState.SERVING.ordinal()) {
				addresses.add(member.callerAddress());
			}
		}
		return addresses.isEmpty() ? List.of(membership.self().callerAddress()) : addresses;
	}

	/**
	 * Applies new settings while the router runs.
	 * @param settings the settings
	 */
	public void apply(RouterSettings settings) {
		this.services.apply(settings);
		this.quotas.setTolerance(settings.limitTolerance());
		this.shutdown.setShutdown(settings.shutdown());
	}

	/**
	 * Shuts down: withdraws from the directory at once, serves callers with a cached
	 * directory response for some time, and answers all requests before it exits.
	 */
	@Override
	public void close() {
		this.shutdown.begin();
		this.gossip.announce();
		this.log.lifecycle("stopping", "running", this.intake.running());
		boolean interrupted = false;
		while (!interrupted && !this.shutdown.mayExit(this.intake.unanswered())) {
			if (this.shutdown.acceptsNone()) {
				this.intake.refuseIncompleteRequests();
			}
			if (this.shutdown.mustEndRuns()) {
				this.intake.endCalls();
			}
			interrupted = !pause();
		}
		this.log.lifecycle("stopped", "running", this.intake.running(), "unanswered", this.intake.unanswered());
		this.roleController.close();
		this.rolloutController.close();
		this.streamRecorder.close();
		this.reader.close();
		this.registration.close();
		this.server.close();
		this.gossip.close();
		if (this.scheduler != null) {
			this.scheduler.close();
		}
		this.client.close();
	}

	private static boolean pause() {
		try {
			TimeUnit.MILLISECONDS.sleep(50);
			return true;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
	}

	/**
	 * Adapters to the platform.
	 *
	 * @param source access to the store
	 * @param decoder decoder of the store's rows
	 * @param requests header fields of requests and responses
	 * @param engines calls to engines
	 * @param directory protocol of the directory and the readiness check
	 * @param client HTTP client for endpoints
	 * @author banyanstile contributors
	 */
	public record Platform(TableSource source, RowDecoder decoder, RequestProtocol requests, EngineCalls engines,
			DirectoryProtocol directory, HttpClient client) {

	}

	/**
	 * State that this VM exchanges with other VMs by gossip.
	 *
	 * @author banyanstile contributors
	 */
	private static final class LocalGossipState implements GossipNode.LocalState {

		private final RouterServices services;

		private final FleetView view;

		private final EndpointLoads loads;

		private final TeamQuotas quotas;

		private final RoleChanges roleChanges;

		private final EndpointLimits limits;

		private final CrashQuarantine quarantine;

		private final GracefulShutdown shutdown;

		private final Ticker ticker;

		private final DecisionLog log;

		private LocalGossipState(RouterServices services, FleetView view, EndpointLoads loads, TeamQuotas quotas,
				RoleChanges roleChanges, EndpointLimits limits, CrashQuarantine quarantine, GracefulShutdown shutdown,
				Ticker ticker, DecisionLog log) {
			this.services = services;
			this.view = view;
			this.loads = loads;
			this.quotas = quotas;
			this.roleChanges = roleChanges;
			this.limits = limits;
			this.quarantine = quarantine;
			this.shutdown = shutdown;
			this.ticker = ticker;
			this.log = log;
		}

		@Override
		public MemberState memberState() {
			if (this.shutdown.hasBegun()) {
				return MemberState.LEAVING;
			}
			Catalog catalog = this.view.snapshot().catalog();
			if (catalog == null) {
				return MemberState.STARTING;
			}
			this.quotas.prepare(catalog.teams());
			return MemberState.SERVING;
		}

		@Override
		public List<GossipLoad> loads() {
			return this.loads.own()
				.stream()
				.map((load) -> new GossipLoad(load.endpoint(), load.requests(), load.tokens()))
				.toList();
		}

		@Override
		public List<GossipUse> uses() {
			return this.quotas.uses();
		}

		@Override
		public List<GossipRoleChange> roleChanges() {
			return this.roleChanges.pending(this.ticker.nanos())
				.stream()
				.map((change) -> new GossipRoleChange(change.endpoint(), change.role().ordinal(),
						change.remainingMillis()))
				.toList();
		}

		@Override
		public List<GossipLimit> limits() {
			return this.limits.reports(this.ticker.nanos())
				.stream()
				.map((report) -> new GossipLimit(report.endpoint(), report.perSecond(), report.ageMillis()))
				.toList();
		}

		@Override
		public List<GossipCrashes> crashes() {
			return this.quarantine.reports(this.ticker.nanos())
				.stream()
				.map((report) -> new GossipCrashes(report.trait(), report.clearances(), report.crashes(),
						report.crashAgeMillis(), report.activeAgeMillis()))
				.toList();
		}

		@Override
		public GossipEngines engines() {
			return this.services.fleetAdmission() ? this.services.observations().own() : GossipEngines.none();
		}

		@Override
		public GossipVersions versions() {
			VersionHistory history = this.services.streamVersions().history();
			long now = this.ticker.nanos();
			return new GossipVersions(history.knownMillis(now),
					history.reports(now)
						.stream()
						.map((version) -> new GossipVersion(version.service(), version.version(), version.ageMillis()))
						.toList());
		}

		// A VM that is behind may not know of a version that has come and gone.
		private void received(GossipVersions versions, boolean isRecent) {
			this.services.streamVersions()
				.history()
				.merge(versions.versions()
					.stream()
					.map((version) -> new ServedVersion(version.service(), version.version(), version.ageMillis()))
					.toList(), isRecent ? versions.knownMillis() : 0, this.ticker.nanos());
		}

		private boolean isAboutAsRecent(GossipState state) {
			int endpoints = FleetTable.ENDPOINTS.ordinal();
			return state.versions().size() > endpoints && state.millis().size() > endpoints && this.view
				.isAboutAsRecent(FleetTable.ENDPOINTS, state.versions().get(endpoints), state.millis().get(endpoints));
		}

		@Override
		public void received(GossipState state) {
			if (state.versionHistory() != null) {
				received(state.versionHistory(), isAboutAsRecent(state));
			}
			this.services.observations().report(state.self().vm(), state.engines(), this.ticker.nanos());
			List<EndpointLoads.Load> reportedLoads = state.loads()
				.stream()
				.map((load) -> new EndpointLoads.Load(load.endpoint(), load.requests(), load.tokens()))
				.toList();
			this.loads.report(state.self().vm(), reportedLoads, this.ticker.nanos());
			this.quotas.report(state.self(), state.uses());
			List<RoleChanges.Report> reportedChanges = state.roleChanges()
				.stream()
				.map((change) -> new RoleChanges.Report(change.endpoint(), EndpointRole.values()[change.role()],
						change.remainingMillis()))
				.toList();
			this.roleChanges.report(reportedChanges, this.ticker.nanos());
			List<LimitReport> reportedLimits = state.limits()
				.stream()
				.map((limit) -> new LimitReport(limit.endpoint(), limit.perSecond(), limit.ageMillis()))
				.toList();
			this.limits.merge(reportedLimits, this.ticker.nanos());
			List<CrashEvidence> reportedCrashes = state.crashes()
				.stream()
				.map((crashes) -> new CrashEvidence(crashes.trait(), crashes.clearances(), crashes.crashes(),
						crashes.crashAgeMillis(), crashes.activeAgeMillis()))
				.toList();
			for (long trait : this.quarantine.merge(reportedCrashes, this.ticker.nanos())) {
				this.log.stateChange("quarantined", "trait", HexFormat.of().toHexDigits(trait), "reportedBy",
						state.self().vm());
			}
		}

	}

}
