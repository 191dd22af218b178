package org.banyanstile.server.canary;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

import org.banyanstile.core.canary.ExposureBounds;
import org.banyanstile.core.canary.RolloutOrder;
import org.banyanstile.core.canary.RolloutPhase;
import org.banyanstile.core.canary.RolloutPlan;
import org.banyanstile.core.canary.RolloutStage;
import org.banyanstile.core.catalog.EndpointRole;
import org.banyanstile.core.catalog.RegisteredEndpoint;
import org.banyanstile.core.common.Ticker;
import org.banyanstile.server.router.DecisionLog;
import org.banyanstile.server.view.FleetSnapshot;
import org.banyanstile.server.view.FleetView;
import org.banyanstile.server.view.RolloutRow;
import org.banyanstile.server.view.TableSource;
import org.banyanstile.server.view.TableSourceException;
import org.jspecify.annotations.Nullable;

/**
 * Decides on the stages of rollouts and writes them. The live VM with the lowest name
 * does so at once; another one does so when a stage has been due for some time, longer
 * for a VM of higher rank, so that a VM that the store rejects is replaced without an
 * election. Conditional writes keep two VMs from writing different verdicts.
 *
 * @author banyanstile contributors
 */
public final class RolloutController implements AutoCloseable {

	private static final long INTERVAL_MILLIS = 100;

	private static final long DELAY_NANOS_PER_RANK = 500_000_000L;

	/**
	 * Highest rank of a VM that decides.
	 */
	private static final int MAX_RANK = 8;

	/**
	 * Time without a stage after which a VM reads the row itself.
	 */
	private static final long STAGE_WAIT_NANOS = 400_000_000L;

	/**
	 * Pause after a call that the store did not answer.
	 */
	private static final long RETRY_NANOS = 300_000_000L;

	/**
	 * Oldest report of a VM that counts for the end of old requests.
	 */
	private static final long MAX_REPORT_AGE_NANOS = 1_500_000_000L;

	/**
	 * Capacity of the new version, relative to that of the old one, without which it does
	 * not get all requests.
	 */
	private static final double MIN_CAPACITY = 0.5;

	private final FleetView view;

	private final TableSource store;

	private final Rollouts rollouts;

	private final Supplier<ExposureBounds> bounds;

	private final IntSupplier rank;

	private final Supplier<Set<String>> otherVms;

	private final Runnable announce;

	private final Ticker ticker;

	private final DecisionLog log;

	private final Map<String, StoredStage> stored = new HashMap<>();

	private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor((body) -> {
		Thread thread = new Thread(body, "rollout-controller");
		thread.setDaemon(true);
		return thread;
	});

	/**
	 * Creates a controller that is idle until {@link #start} is called.
	 * @param view copy of the store's tables
	 * @param store the store
	 * @param rollouts the rollouts of this VM
	 * @param bounds bounds on the requests that a bad version may get
	 * @param rank number of live VMs whose names sort before this VM's name
	 * @param otherVms names of the other live VMs
	 * @param announce sends the stages to all VMs at once
	 * @param ticker time source
	 * @param log log of decisions
	 */
	public RolloutController(FleetView view, TableSource store, Rollouts rollouts, Supplier<ExposureBounds> bounds,
			IntSupplier rank, Supplier<Set<String>> otherVms, Runnable announce, Ticker ticker, DecisionLog log) {
		this.view = view;
		this.store = store;
		this.rollouts = rollouts;
		this.bounds = bounds;
		this.rank = rank;
		this.otherVms = otherVms;
		this.announce = announce;
		this.ticker = ticker;
		this.log = log;
	}

	/**
	 * Starts the thread that decides.
	 */
	public void start() {
		var unused = this.timer.scheduleWithFixedDelay(this::decideAll, INTERVAL_MILLIS, INTERVAL_MILLIS,
				TimeUnit.MILLISECONDS);
	}

	/**
	 * Decides on all rollouts once.
	 */
	void decideAll() {
		for (ServiceRollout rollout : this.rollouts.all()) {
			StoredStage known = this.stored.computeIfAbsent(rollout.order().service(), (service) -> new StoredStage());
			try {
				if (!rollout.isWithdrawn() && this.ticker.nanos() >= known.retryNanos) {
					decide(rollout, known);
				}
			}
			catch (TableSourceException ex) {
				// The write may have been applied, so the row is read before another one.
				known.version = -1;
				known.retryNanos = this.ticker.nanos() + RETRY_NANOS;
				this.log.problem("the store did not confirm the rollout of " + rollout.order().service(), ex);
			}
			catch (RuntimeException | Error ex) {
				this.log.problem("deciding on the rollout of " + rollout.order().service() + " failed", ex);
			}
		}
	}

	private void decide(ServiceRollout rollout, StoredStage known) throws TableSourceException {
		long now = this.ticker.nanos();
		int currentRank = this.rank.getAsInt();
		RolloutStage stage = rollout.stage();
		if (stage == null && (currentRank == 0 || now - rollout.createdNanos() > STAGE_WAIT_NANOS)
				&& now - known.readNanos > STAGE_WAIT_NANOS) {
			read(rollout, known);
			stage = rollout.stage();
		}
		if (currentRank > MAX_RANK || this.view.storeNowMillis() < 0 || known.isVerdictOn(rollout.order())) {
			return;
		}
		RolloutPlan.Decision decision = RolloutPlan.decide(rollout.order(), stage, facts(rollout, now),
				this.bounds.get());
		boolean unwrittenVerdict = stage != null && stage.phase().isFinal();
		boolean due = !decision.stage().equals(stage)
				&& (currentRank == 0 || stage == null || isChangeOfPhase(decision.stage(), stage));
		if (!due && !unwrittenVerdict) {
			known.dueSince = 0;
			return;
		}
		known.dueSince = (known.dueSince == 0) ? now : known.dueSince;
		if (now - known.dueSince < DELAY_NANOS_PER_RANK * currentRank) {
			return;
		}
		if (decision.stage().phase() == RolloutPhase.ROLLED_BACK
				&& this.rollouts.adopt(rollout, decision.stage(), decision.reason())) {
			// Takes effect before it is written, also while the store is down.
			this.announce.run();
		}
		write(rollout, known, decision);
	}

	// Only the VMs of the lowest names have recent evidence of all others, so no other
	// one
	// adapts the share.
	private boolean isChangeOfPhase(RolloutStage next, RolloutStage stage) {
		return next.phase() != stage.phase() || this.view.storeNowMillis() > stage.untilMillis();
	}

	private void read(ServiceRollout rollout, StoredStage known) throws TableSourceException {
		known.readNanos = this.ticker.nanos();
		RolloutRow row = this.store.rollout(rollout.order().service());
		known.version = row.version();
		known.stage = row.stage();
		RolloutStage stage = row.stage();
		if (stage != null && this.rollouts.adopt(rollout, stage, "read from the store")) {
			this.announce.run();
		}
	}

	private void write(ServiceRollout rollout, StoredStage known, RolloutPlan.Decision decision)
			throws TableSourceException {
		RolloutStage next = decision.stage();
		if (known.version < 0 || !isCurrent(rollout, known)) {
			read(rollout, known);
			RolloutStage current = known.stage;
			if (current != null && !next.supersedes(current)) {
				return;
			}
		}
		RolloutStage current = known.stage;
		if (current != null && current.order() == next.order() && current.phase().isFinal()) {
			return;
		}
		long version = this.store.writeRollout(rollout.order(), next, known.version);
		known.version = version;
		if (version < 0) {
			return;
		}
		known.stage = next;
		known.dueSince = 0;
		this.log.stateChange("rollout written", "service", rollout.order().service(), "to", rollout.order().to(),
				"phase", next.phase(), "share", next.share(), "row", version, "reason", decision.reason());
		if (this.rollouts.adopt(rollout, next, decision.reason())) {
			this.announce.run();
		}
	}

	// Another VM may have written since, which its stage shows.
	private static boolean isCurrent(ServiceRollout rollout, StoredStage known) {
		RolloutStage stage = rollout.stage();
		return stage == null || stage.equals(known.stage);
	}

	private RolloutPlan.Facts facts(ServiceRollout rollout, long now) {
		FleetSnapshot snapshot = this.view.snapshot();
		boolean idle = this.rollouts.oldRunning(rollout) == 0
				&& rollout.areIdle(this.otherVms.get(), MAX_REPORT_AGE_NANOS, now);
		return new RolloutPlan.Facts(this.view.storeNowMillis(), isNewReady(rollout, snapshot), idle,
				rollout.oldVersions(snapshot.all().values()), rollout.fleetEvidence());
	}

	// Cold endpoints take few requests, whatever their number.
	private boolean isNewReady(ServiceRollout rollout, FleetSnapshot snapshot) {
		List<RegisteredEndpoint> usable = snapshot.usable().getOrDefault(rollout.order().service(), List.of());
		List<RegisteredEndpoint> next = usable.stream()
			.filter((endpoint) -> rollout.isNew(endpoint) && !this.view.isCold(endpoint.id()))
			.toList();
		List<RegisteredEndpoint> old = usable.stream().filter((endpoint) -> !rollout.isNew(endpoint)).toList();
		for (EndpointRole role : EndpointRole.values()) {
			if (old.stream().anyMatch((endpoint) -> endpoint.role() == role)
					&& next.stream().noneMatch((endpoint) -> endpoint.role() == role)) {
				return false;
			}
		}
		return !next.isEmpty() && capacity(next) >= MIN_CAPACITY * capacity(old);
	}

	private static long capacity(List<RegisteredEndpoint> endpoints) {
		return endpoints.stream().mapToLong(RegisteredEndpoint::capacity).sum();
	}

	@Override
	public void close() {
		this.timer.shutdownNow();
	}

	/**
	 * Row of a stage as it was last read or written. Used by the thread that decides.
	 *
	 * @author banyanstile contributors
	 */
	private static final class StoredStage {

		private long version = -1;

		private @Nullable RolloutStage stage;

		private long dueSince;

		private long retryNanos = Long.MIN_VALUE;

		private long readNanos = Long.MIN_VALUE / 2;

		private boolean isVerdictOn(RolloutOrder order) {
			return this.stage != null && this.stage.order() == order.id() && this.stage.phase().isFinal();
		}

	}

}
