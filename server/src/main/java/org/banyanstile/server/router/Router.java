package org.banyanstile.server.router;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import org.banyanstile.core.catalog.Catalog;
import org.banyanstile.core.catalog.EndpointPhase;
import org.banyanstile.core.common.Ticker;
import org.banyanstile.core.placement.EndpointHealth;
import org.banyanstile.core.placement.EndpointLoads;
import org.banyanstile.core.placement.EndpointPicker;
import org.banyanstile.core.placement.PhaseChanges;
import org.banyanstile.io.http.HttpClient;
import org.banyanstile.server.gossip.GossipChange;
import org.banyanstile.server.gossip.GossipLoad;
import org.banyanstile.server.gossip.GossipMember;
import org.banyanstile.server.gossip.GossipNode;
import org.banyanstile.server.gossip.GossipState;
import org.banyanstile.server.gossip.GossipUse;
import org.banyanstile.server.gossip.MemberState;
import org.banyanstile.server.gossip.Membership;
import org.banyanstile.server.gossip.VmRegistration;
import org.banyanstile.server.view.FleetReader;
import org.banyanstile.server.view.FleetView;
import org.banyanstile.server.view.RowDecoder;
import org.banyanstile.server.view.TableSource;

/**
 * The daemon of a VM whose endpoints register themselves with the platform: view of the
 * fleet, exchange with other VMs and request path.
 *
 * @author banyanstile contributors
 */
public final class Router implements AutoCloseable {

	/**
	 * Idle time after which connections to endpoints are closed. Endpoints accept few
	 * connections from all VMs together.
	 */
	private static final Duration MAX_IDLE = Duration.ofSeconds(2);

	private final RouterServices services;

	private final TeamQuotas quotas;

	private final Departure departure;

	private final DecisionLog log;

	private final FleetReader reader;

	private final VmRegistration registration;

	private final GossipNode gossip;

	private final RequestIntake intake;

	private final RouterServer server;

	private final RoleKeeper keeper;

	private final HttpClient client;

	private Router(RouterServices services, TeamQuotas quotas, Departure departure, DecisionLog log, FleetReader reader,
			VmRegistration registration, GossipNode gossip, RequestIntake intake, RouterServer server,
			RoleKeeper keeper, HttpClient client) {
		this.services = services;
		this.quotas = quotas;
		this.departure = departure;
		this.log = log;
		this.reader = reader;
		this.registration = registration;
		this.gossip = gossip;
		this.intake = intake;
		this.server = server;
		this.keeper = keeper;
		this.client = client;
	}

	/**
	 * Starts the daemon.
	 * @param settings figures of the deployment
	 * @param addresses addresses to listen at
	 * @param peerAddress address for datagrams of other VMs
	 * @param seeds addresses of some other VMs
	 * @param platform what the platform provides
	 * @param log log of decisions
	 * @return the daemon
	 * @throws IOException if an address cannot be bound
	 */
	public static Router start(RouterSettings settings, RouterAddresses addresses, InetSocketAddress peerAddress,
			Collection<String> seeds, Platform platform, DecisionLog log) throws IOException {
		Ticker ticker = Ticker.system();
		FleetView view = FleetView.create(platform.decoder(), ticker, log);
		String ownPeerAddress = text(peerAddress);
		Membership membership = Membership.of(new GossipMember(settings.vm(), System.currentTimeMillis(), 0,
				settings.dataCentre(), text(addresses.callers()), ownPeerAddress, MemberState.STARTING.ordinal()));
		EndpointLoads loads = new EndpointLoads();
		EndpointHealth health = new EndpointHealth();
		VmRegistration registration = VmRegistration.create(platform.source(), membership, ticker, log);
		TeamQuotas quotas = new TeamQuotas(ticker, settings.limitTolerance(), registration::others);
		Departure departure = Departure.within(settings.shutdown(), ticker);
		PhaseChanges changes = new PhaseChanges();
		State state = new State(view, loads, quotas, changes, departure, ticker);
		PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
		RouterServices services = new RouterServices(settings, view, changes, platform.requests(), platform.engines(),
				loads, health, EndpointPicker.create(loads, health, new Random()),
				new EndpointClient(platform.client(), platform.requests(), health),
				() -> registration.others().size() + 1, log, registry);
		RequestIntake intake = new RequestIntake(services, quotas, departure);
		RouterServer server = new RouterServer(services, intake, platform.directory(),
				() -> addresses(membership, departure, ticker), departure);
		server.start(addresses, registry::scrape);
		GossipNode gossip = GossipNode.start(peerAddress, membership, view, state, ticker, log);
		gossip.setSeeds(seeds);
		FleetReader reader = FleetReader.create(platform.source(), view, () -> membership.rank(ticker.nanos()), log);
		reader.start();
		registration.start(gossip::setRegistered);
		server.every(Duration.ofSeconds(1), () -> {
			platform.client().closeIdle(MAX_IDLE);
			services.metrics().usable(view.snapshot().usable());
		});
		RoleKeeper keeper = new RoleKeeper(settings.vm(), view, platform.source(), platform.engines(), loads, changes,
				() -> membership.rank(ticker.nanos()) == 0 && !departure.hasBegun(), log);
		keeper.start();
		log.lifecycle("started", "vm", settings.vm(), "callers", text(addresses.callers()));
		return new Router(services, quotas, departure, log, reader, registration, gossip, intake, server, keeper,
				platform.client());
	}

	private static String text(InetSocketAddress address) {
		return address.getHostString() + ':' + address.getPort();
	}

	// Names the living VMs that take requests, and this VM if there is none, since an
	// empty answer helps no caller.
	private static List<String> addresses(Membership membership, Departure departure, Ticker ticker) {
		List<String> addresses = new ArrayList<>();
		if (!departure.hasBegun()) {
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
	 * Applies other figures while the daemon runs.
	 * @param settings the figures
	 */
	public void apply(RouterSettings settings) {
		this.services.apply(settings);
		this.quotas.setTolerance(settings.limitTolerance());
		this.departure.setShutdown(settings.shutdown());
	}

	/**
	 * Shuts down: leaves the directory at once, serves callers who kept its older answer
	 * for some time, and finishes running requests.
	 */
	@Override
	public void close() {
		this.departure.begin();
		this.gossip.announce();
		this.log.lifecycle("stopping", "running", this.intake.running());
		boolean interrupted = false;
		while (!interrupted && !this.departure.isOver(this.intake.running())) {
			interrupted = !pause();
		}
		this.log.lifecycle("stopped", "running", this.intake.running());
		this.keeper.close();
		this.reader.close();
		this.registration.close();
		this.server.close();
		this.gossip.close();
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
	 * What the platform provides.
	 *
	 * @param source reads the store
	 * @param decoder decodes its rows
	 * @param requests header fields of requests
	 * @param engines calls to engines
	 * @param directory directory and readiness
	 * @param client client for endpoints
	 * @author banyanstile contributors
	 */
	public record Platform(TableSource source, RowDecoder decoder, RequestProtocol requests, EngineCalls engines,
			DirectoryProtocol directory, HttpClient client) {

	}

	/**
	 * State of this VM that other VMs learn.
	 *
	 * @author banyanstile contributors
	 */
	private static final class State implements GossipNode.LocalState {

		private final FleetView view;

		private final EndpointLoads loads;

		private final TeamQuotas quotas;

		private final PhaseChanges changes;

		private final Departure departure;

		private final Ticker ticker;

		private State(FleetView view, EndpointLoads loads, TeamQuotas quotas, PhaseChanges changes, Departure departure,
				Ticker ticker) {
			this.view = view;
			this.loads = loads;
			this.quotas = quotas;
			this.changes = changes;
			this.departure = departure;
			this.ticker = ticker;
		}

		@Override
		public MemberState memberState() {
			if (this.departure.hasBegun()) {
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
		public List<GossipChange> changes() {
			return this.changes.pending(this.ticker.nanos())
				.stream()
				.map((change) -> new GossipChange(change.endpoint(), change.phase().ordinal(), change.leftMillis()))
				.toList();
		}

		@Override
		public void received(GossipState state) {
			List<EndpointLoads.Load> reported = state.loads()
				.stream()
				.map((load) -> new EndpointLoads.Load(load.endpoint(), load.requests(), load.tokens()))
				.toList();
			this.loads.report(state.self().vm(), reported, this.ticker.nanos());
			this.quotas.report(state.self(), state.uses());
			List<PhaseChanges.Report> known = state.changes()
				.stream()
				.map((change) -> new PhaseChanges.Report(change.endpoint(), EndpointPhase.values()[change.phase()],
						change.leftMillis()))
				.toList();
			this.changes.report(known, this.ticker.nanos());
		}

	}

}
