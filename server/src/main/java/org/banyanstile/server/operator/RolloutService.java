package org.banyanstile.server.operator;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.banyanstile.config.FleetConfiguration;
import org.banyanstile.config.api.ChangeOutcome;
import org.banyanstile.config.api.ChangeResult;
import org.banyanstile.config.api.CurrentConfiguration;
import org.banyanstile.config.api.RolloutState;
import org.banyanstile.config.api.RolloutStatus;
import org.banyanstile.config.diff.ConfigurationDifference;
import org.banyanstile.config.json.ConfigurationException;
import org.banyanstile.config.json.ConfigurationJson;
import org.banyanstile.core.common.Ticker;
import org.banyanstile.core.common.VmId;
import org.banyanstile.core.rollout.AcceptanceTracker;
import org.banyanstile.core.rollout.AppliedVersion;
import org.banyanstile.core.rollout.CommitResult;
import org.banyanstile.core.rollout.ConfigurationStore;
import org.banyanstile.core.rollout.Freshness;
import org.banyanstile.core.rollout.HeadRead;
import org.banyanstile.core.rollout.RolloutProgress;
import org.banyanstile.core.rollout.VersionHolder;
import org.banyanstile.core.store.StoreException;
import org.jspecify.annotations.Nullable;

/**
 * Stores and applies versions of the configuration, and decides whether this VM serves
 * the current one. Safe for use by several threads; no lock is held during a store call.
 *
 * @author banyanstile contributors
 */
public final class RolloutService implements ConfigurationService {

	private static final Logger logger = LogManager.getLogger(RolloutService.class);

	private final VmId self;

	private final ConfigurationStore store;

	private final FleetView fleet;

	private final ConfigurationSink sink;

	private final Ticker ticker;

	private final RolloutTimes times;

	private final VersionHolder<FleetConfiguration> holder = VersionHolder.create();

	/**
	 * Held while a version is passed to the sink, so that the sink never receives a lower
	 * version after a higher one.
	 */
	private final Object applyLock = new Object();

	private final Object lock = new Object();

	private final Freshness freshness = Freshness.create();

	private final AcceptanceTracker tracker = AcceptanceTracker.create();

	private RolloutService(VmId self, ConfigurationStore store, FleetView fleet, ConfigurationSink sink, Ticker ticker,
			RolloutTimes times) {
		this.self = self;
		this.store = store;
		this.fleet = fleet;
		this.sink = sink;
		this.ticker = ticker;
		this.times = times;
	}

	/**
	 * Creates the service.
	 * @param self this VM
	 * @param store the stored versions
	 * @param fleet the other VMs
	 * @param sink receives the versions that come into force
	 * @param ticker the time
	 * @param times time limits
	 * @return the service
	 */
	public static RolloutService create(VmId self, ConfigurationStore store, FleetView fleet, ConfigurationSink sink,
			Ticker ticker, RolloutTimes times) {
		return new RolloutService(self, store, fleet, sink, ticker, times);
	}

	@Override
	public CurrentConfiguration current() {
		AppliedVersion<FleetConfiguration> applied = this.holder.current();
		return (applied != null) ? new CurrentConfiguration(applied.version(), applied.content())
				: new CurrentConfiguration(0, null);
	}

	@Override
	public CurrentConfiguration stored(long version) throws StoreException {
		String body = this.store.body(version);
		return new CurrentConfiguration(version, (body != null) ? parse(version, body) : null);
	}

	@Override
	public ChangeResult replace(long replaced, FleetConfiguration configuration) {
		String body = ConfigurationJson.write(configuration);
		try {
			CommitResult result = this.store.commit(replaced, body);
			long deadline = this.ticker.nanos() + this.times.resolve().toNanos();
			while (result instanceof CommitResult.Unknown unknown && this.ticker.nanos() - deadline < 0) {
				pause();
				result = this.store.resolve(unknown.pending());
			}
			if (result instanceof CommitResult.Committed committed) {
				return committed(committed.version(), configuration, body);
			}
			if (result instanceof CommitResult.Conflict conflict) {
				return conflict(conflict.current(), configuration);
			}
			return ChangeResult.of(ChangeOutcome.UNKNOWN, replaced + 1,
					"the table service did not confirm whether the version was stored; read it to find out");
		}
		catch (StoreException ex) {
			return ChangeResult.of(ChangeOutcome.UNAVAILABLE, this.holder.version(), "not stored: " + ex.getMessage());
		}
	}

	private ChangeResult committed(long version, FleetConfiguration configuration, String body) {
		logger.info("configuration version {} stored", version);
		apply(version, configuration);
		this.fleet.push(version, body);
		this.fleet.requestScan();
		long deadline = this.ticker.nanos() + this.times.accept().toNanos();
		RolloutStatus status = status();
		while (!isAccepted(status, version) && this.ticker.nanos() - deadline < 0) {
			pause();
			status = status();
		}
		return isAccepted(status, version) ? ChangeResult.of(ChangeOutcome.ACCEPTED, version, "")
				: ChangeResult.of(ChangeOutcome.STORED, version,
						"acknowledged by " + status.acknowledged() + " of " + status.registered() + " registered VMs");
	}

	private static boolean isAccepted(RolloutStatus status, long version) {
		return status.version() >= version && status.state() == RolloutState.ACCEPTED;
	}

	private ChangeResult conflict(long current, FleetConfiguration configuration) throws StoreException {
		FleetConfiguration committed = stored(current).configuration();
		return ChangeResult.conflict(current,
				(committed != null) ? ConfigurationDifference.between(committed, configuration) : List.of());
	}

	@Override
	public RolloutStatus status() {
		FleetView.Registered registered = this.fleet.registered();
		Map<VmId, Long> reported = new HashMap<>(this.fleet.reported());
		reported.put(this.self, this.holder.version());
		RolloutProgress progress;
		synchronized (this.lock) {
			progress = this.tracker.evaluate(registered.vms(), registered.readAt(), reported, this.ticker.nanos());
		}
		RolloutState state = progress.accepted() ? RolloutState.ACCEPTED : RolloutState.STORED;
		return new RolloutStatus(progress.version(), (progress.version() > 0) ? state : RolloutState.NONE,
				progress.registered(), progress.acknowledged(), progress.missing().stream().map(VmId::name).toList());
	}

	/**
	 * Reads the current version and applies it if it is new. Blocks.
	 * @throws StoreException if the version could not be read from the table service
	 */
	public void poll() throws StoreException {
		long sentAt = this.ticker.nanos();
		headRead(this.store.head(), sentAt);
	}

	/**
	 * Handles a read of {@code config/head}. Blocks while it fetches a new version.
	 * @param version the version that the read returned
	 * @param sentAt time before the read was sent
	 * @throws StoreException if the content of the version could not be read
	 */
	public void headRead(long version, long sentAt) throws StoreException {
		HeadRead read;
		synchronized (this.lock) {
			read = this.freshness.read(version, sentAt);
			if (read != HeadRead.STALE) {
				this.tracker.committed(version, this.ticker.nanos());
			}
		}
		if (read == HeadRead.BEHIND) {
			String body = this.store.body(version);
			if (body != null) {
				received(version, body);
			}
		}
	}

	/**
	 * Applies a version that another VM sent. Its content is trusted, because VMs
	 * authenticate each other with the fleet key.
	 * @param version the version
	 * @param body its content as JSON
	 * @return whether it was applied; an equal, lower or unreadable version is not
	 */
	public boolean received(long version, String body) {
		if (version <= this.holder.version()) {
			return false;
		}
		FleetConfiguration configuration = parse(version, body);
		return configuration != null && apply(version, configuration);
	}

	private boolean apply(long version, FleetConfiguration configuration) {
		boolean applied;
		synchronized (this.applyLock) {
			applied = this.holder.apply(version, configuration);
			if (applied) {
				this.sink.apply(version, configuration);
			}
		}
		// The version is not in force for requests before this point, so it is not
		// reported earlier.
		synchronized (this.lock) {
			this.tracker.committed(version, this.ticker.nanos());
			this.freshness.applied(version);
		}
		return applied;
	}

	private @Nullable FleetConfiguration parse(long version, String body) {
		try {
			return ConfigurationJson.readConfiguration("config/body/" + version, body);
		}
		catch (ConfigurationException ex) {
			logger.error("configuration version {} cannot be applied: {}", version, ex.getMessage());
			return null;
		}
	}

	/**
	 * Records the version that another VM reported in a heartbeat. Reads that return a
	 * lower one are rejected from then on.
	 * @param version the version
	 */
	public void reported(long version) {
		synchronized (this.lock) {
			this.freshness.reported(version);
		}
	}

	/**
	 * Records that this VM holds a slot.
	 * @param at time after the slot row was committed; the time of the first call is used
	 * if it is later, because the rows may have been read before they contained this VM
	 */
	public void registered(long at) {
		long now = this.ticker.nanos();
		synchronized (this.lock) {
			this.freshness.registered((at - now > 0) ? at : now);
		}
	}

	/**
	 * Records that this VM lost its slot.
	 */
	public void unregistered() {
		synchronized (this.lock) {
			this.freshness.unregistered();
		}
	}

	/**
	 * Returns whether this VM knows that the version in force here is the current one.
	 * Unless the outage rule applies, a VM serves only while this is true.
	 * @return whether it knows this
	 */
	public boolean isFresh() {
		synchronized (this.lock) {
			return this.freshness.isFresh(this.ticker.nanos());
		}
	}

	private void pause() {
		try {
			Thread.sleep(this.times.poll().toMillis());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
