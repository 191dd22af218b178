package org.banyanstile.server;

import java.io.IOException;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import java.util.UUID;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import io.micrometer.core.instrument.MeterRegistry;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.banyanstile.config.FleetConfiguration;
import org.banyanstile.config.VmSettings;
import org.banyanstile.config.api.CurrentConfiguration;
import org.banyanstile.config.api.VmStatus;
import org.banyanstile.config.json.ConfigurationJson;
import org.banyanstile.core.claim.ClaimHolder;
import org.banyanstile.core.claim.OnceOnlyClaims;
import org.banyanstile.core.common.DataCentreId;
import org.banyanstile.core.common.Ticker;
import org.banyanstile.core.common.VmId;
import org.banyanstile.core.lease.OperationIds;
import org.banyanstile.core.lease.SlotRecord;
import org.banyanstile.core.lease.VmCoordinator;
import org.banyanstile.core.membership.PeerReport;
import org.banyanstile.core.membership.ServingGate;
import org.banyanstile.core.membership.VmState;
import org.banyanstile.core.rollout.ConfigurationStore;
import org.banyanstile.core.store.StoreException;
import org.banyanstile.io.http.HttpClient;
import org.banyanstile.server.caller.EngineCanceller;
import org.banyanstile.server.caller.MemberDirectory;
import org.banyanstile.server.caller.RunningStreams;
import org.banyanstile.server.endpoint.EngineClient;
import org.banyanstile.server.fleet.FleetClaimService;
import org.banyanstile.server.fleet.FleetSlotSource;
import org.banyanstile.server.fleet.FleetStreamDirectory;
import org.banyanstile.server.fleet.FleetTeamLimiter;
import org.banyanstile.server.fleet.Messenger;
import org.banyanstile.server.fleet.Partitions;
import org.banyanstile.server.fleet.PoolOwner;
import org.banyanstile.server.fleet.PoolReconciler;
import org.banyanstile.server.operator.PeerFetch;
import org.banyanstile.server.operator.PeerStart;
import org.banyanstile.server.operator.RolloutService;
import org.banyanstile.server.operator.RolloutTimes;
import org.banyanstile.server.platform.Coordination;
import org.banyanstile.server.platform.CoordinationLoop;
import org.banyanstile.server.platform.HttpTableStore;
import org.banyanstile.server.platform.JsonRowCodec;
import org.banyanstile.server.platform.VmListClient;
import org.banyanstile.server.vm.ConfigFetch;
import org.banyanstile.server.vm.ConfigPush;
import org.banyanstile.server.vm.MessageHandlers;
import org.banyanstile.server.vm.VmIdentity;
import org.banyanstile.server.vm.VmMessages;
import org.banyanstile.server.vm.VmPeers;
import org.banyanstile.server.vm.VmRequestException;
import org.jspecify.annotations.Nullable;

/**
 * Coordination of this VM with the fleet: connections, slot, partitions, configuration,
 * limits, pools and directory.
 *
 * @author banyanstile contributors
 */
final class FleetParts implements AutoCloseable {

	private static final long SECOND_MILLIS = 1000;

	private static final long CONFIGURATION_MILLIS = 100;

	private static final long POOL_EXPIRY_MILLIS = 20;

	private static final long RECONCILE_MILLIS = 2000;

	private static final Duration FETCH_TIMEOUT = Duration.ofSeconds(1);

	private static final Duration RELEASE_TIMEOUT = Duration.ofSeconds(5);

	private static final Logger logger = LogManager.getLogger(FleetParts.class);

	private final VmSettings settings;

	private final AppliedConfiguration applied;

	private final MessageHandlers handlers = new MessageHandlers();

	private final Coordination coordination;

	private final CoordinationView view;

	private final VmPeers peers;

	private final CoordinationLoop loop;

	private final RolloutService rollout;

	private final ConfigurationStore store;

	private final FleetTeamLimiter limiter;

	private final PoolOwner pools;

	private final PoolReconciler reconciler;

	private final FleetClaimService claims;

	private final FleetStreamDirectory directory;

	private final RequestParts parts;

	private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(4, FleetParts::thread);

	private volatile boolean leaving;

	FleetParts(VmSettings settings, AppliedConfiguration applied, HttpClient http, EngineClient engine,
			EngineCanceller canceller, RunningStreams running) {
		this.settings = settings;
		this.applied = applied;
		VmId self = VmId.of(settings.vm());
		JsonRowCodec codec = new JsonRowCodec();
		Random random = new SecureRandom();
		this.coordination = Coordination.create(VmCoordinator.create(slot(settings), settings.vmSlots(), codec, random),
				Ticker.system());
		this.view = new CoordinationView(self, this.coordination, settings.vmSlots());
		this.peers = VmPeers.create(new VmIdentity(self, settings.vmAddress(), settings.fleetKey()), VmMessages.codec(),
				this.handlers);
		HttpTableStore tables = HttpTableStore.create(http, settings.tableService());
		this.loop = CoordinationLoop.create(this.coordination, tables, VmListClient.create(http, settings.vmList()),
				this.peers, codec, settings.seedVms());
		this.store = ConfigurationStore.create(tables, codec, () -> settings.vm() + "-" + UUID.randomUUID());
		this.rollout = RolloutService.create(self, this.store, new RolloutView(this.coordination, this.peers),
				this::apply, Ticker.system(), RolloutTimes.standard());
		Messenger messenger = Messenger.over(this.peers);
		this.limiter = FleetTeamLimiter.create(this.view, this.view, messenger, settings.vmSlots(), Ticker.system(),
				this.handlers);
		this.pools = PoolOwner.create(this.view, messenger, applied, Ticker.system(), this.handlers);
		this.reconciler = new PoolReconciler(this.pools, this.view, this.view, applied, engine, canceller,
				Ticker.system());
		this.claims = FleetClaimService.create(
				OnceOnlyClaims.create(tables, codec,
						(holder) -> this.coordination.hasEnded(holder.vm(), holder.slot(), holder.epoch()),
						OperationIds.create(self, random)),
				this::claimHolder, () -> this.coordination.storeAgeMillis() < ServingGate.CUT_OFF_MILLIS, messenger,
				this.handlers);
		this.directory = FleetStreamDirectory.create(this.view, messenger, running, this.handlers);
		this.parts = new RequestParts(this::mayServe, this.limiter,
				FleetSlotSource.create(this.view, messenger, applied, this.pools,
						LocalSlotSource.create(applied, this.view::registeredVms), this.handlers),
				this.claims, this.directory, this::members);
	}

	private static SlotRecord slot(VmSettings settings) {
		return new SlotRecord(0, VmId.of(settings.vm()), 0, DataCentreId.of(settings.dataCentre()),
				settings.callerAddress(), settings.vmAddress(), VmState.LIVE, "");
	}

	private static Thread thread(Runnable task) {
		Thread thread = new Thread(task, "fleet-timer");
		thread.setDaemon(true);
		return thread;
	}

	RequestParts parts() {
		return this.parts;
	}

	RolloutService rollout() {
		return this.rollout;
	}

	void bindMetrics(MeterRegistry registry) {
		FleetMetrics.bind(registry, this.coordination, this.loop, this.peers.counters(), this::mayServe);
	}

	/**
	 * Binds the address for other VMs and starts all threads.
	 * @throws IOException if the address cannot be bound
	 */
	void start() throws IOException {
		this.handlers.register(ConfigPush.class, (from, push) -> {
			this.rollout.received(push.version(), push.body());
			return null;
		});
		this.handlers.register(ConfigFetch.class, (from, request) -> currentConfiguration());
		this.coordination.setPartitions(Partitions.all(this.applied.current()));
		this.peers.start();
		this.loop.start(this.handlers);
		schedule(CONFIGURATION_MILLIS, this::followConfiguration);
		schedule(SECOND_MILLIS, this.limiter::update);
		schedule(SECOND_MILLIS, this.directory::announceAgain);
		schedule(POOL_EXPIRY_MILLIS, this.pools::expire);
		schedule(RECONCILE_MILLIS, this.reconciler::reconcile);
		schedule(SECOND_MILLIS, this.claims::writeRetained);
		PeerStart start = PeerStart.create(this.rollout, new RolloutView(this.coordination, this.peers), this::fetch);
		schedule(SECOND_MILLIS, start::run);
	}

	private ConfigPush currentConfiguration() {
		CurrentConfiguration current = this.rollout.current();
		FleetConfiguration configuration = current.configuration();
		return new ConfigPush(current.version(), (configuration != null) ? ConfigurationJson.write(configuration) : "");
	}

	private PeerFetch.@Nullable Fetched fetch(VmId vm) {
		try {
			ConfigPush push = this.peers.request(vm, new ConfigFetch(0), ConfigPush.class, FETCH_TIMEOUT);
			return new PeerFetch.Fetched(push.version(), push.body());
		}
		catch (VmRequestException ex) {
			// Retried in the next second.
			return null;
		}
	}

	private void schedule(long millis, Runnable task) {
		var unused = this.timers.scheduleWithFixedDelay(() -> {
			try {
				task.run();
			}
			catch (RuntimeException ex) {
				// An uncaught exception would cancel the periodic task.
				logger.error("periodic fleet task failed", ex);
			}
		}, millis, millis, TimeUnit.MILLISECONDS);
	}

	private void apply(long version, FleetConfiguration configuration) {
		this.applied.apply(version, configuration);
		this.limiter.configure(configuration);
		this.coordination.setPartitions(Partitions.all(this.applied.current()));
		this.coordination.setConfigVersion(version);
	}

	private void followConfiguration() {
		OptionalLong readAt = this.coordination.slotsReadAt();
		if (this.coordination.slot().isPresent() && readAt.isPresent()) {
			this.rollout.registered(readAt.getAsLong());
		}
		else {
			this.rollout.unregistered();
		}
		this.coordination.reports().forEach((report) -> this.rollout.reported(report.heartbeat().configVersion()));
		long headReadAt = this.coordination.headReadAt();
		try {
			this.rollout.headRead(this.store.version(this.coordination.configHead().orElse(null)), headReadAt);
		}
		catch (StoreException ex) {
			// Retried in the next run; without a read the serving check fails.
		}
	}

	private @Nullable ClaimHolder claimHolder() {
		return this.coordination.slot()
			.map((slot) -> new ClaimHolder(slot.vm(), slot.slot(), slot.epoch()))
			.orElse(null);
	}

	private boolean mayServe() {
		return this.coordination.isServing() && (this.rollout.isFresh() || this.coordination.isOutage());
	}

	/**
	 * Returns the VM and epoch that identify this VM in calls to engines.
	 * @return the holder
	 */
	String holder() {
		return this.settings.vm() + "/" + this.view.epoch();
	}

	private List<MemberDirectory.Member> members() {
		List<MemberDirectory.Member> members = new ArrayList<>();
		for (SlotRecord row : this.coordination.members()) {
			boolean notLive = row.state() != VmState.LIVE || (this.leaving && row.vm().equals(this.view.self()));
			if (!notLive && isAlive(row.vm())) {
				members.add(new MemberDirectory.Member(row.callerAddress(), row.dataCentre().name()));
			}
		}
		return members;
	}

	private boolean isAlive(VmId vm) {
		return vm.equals(this.view.self()) || this.coordination.reports()
			.stream()
			.map(PeerReport::heartbeat)
			.anyMatch((heartbeat) -> heartbeat.vm().equals(vm) && heartbeat.state() == VmState.LIVE);
	}

	VmStatus status(int running) {
		SlotRecord slot = this.coordination.slot().orElse(null);
		boolean serving = mayServe();
		String state = this.leaving ? "leaving" : (slot != null) ? "live" : "starting";
		return new VmStatus(this.settings.vm(), this.settings.dataCentre(), state, serving,
				serving ? "" : "no current confirmation that this VM may serve", this.applied.current().version(),
				this.coordination.storeAgeMillis(), this.view.slot(), this.view.epoch(), running,
				this.coordination.registered().size(), this.coordination.reports().size() + 1,
				this.coordination.owned().keySet().stream().sorted().toList());
	}

	/**
	 * Removes this VM from the list of VMs and releases its partitions, while it
	 * continues to serve.
	 */
	void leave() {
		this.leaving = true;
		this.coordination.setState(VmState.LEAVING);
	}

	/**
	 * Releases partitions and slot.
	 */
	void release() {
		try {
			if (!this.loop.release(RELEASE_TIMEOUT)) {
				logger.warn("the slot was not released in time and will expire");
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	@Override
	public void close() {
		this.timers.shutdownNow();
		this.loop.close();
		this.peers.close();
	}

}
