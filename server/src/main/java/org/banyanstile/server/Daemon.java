package org.banyanstile.server;

import java.io.IOException;
import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.banyanstile.config.VmSettings;
import org.banyanstile.core.burn.BurnCounters;
import org.banyanstile.core.common.DataCentreId;
import org.banyanstile.core.common.Ticker;
import org.banyanstile.core.common.VmId;
import org.banyanstile.io.http.HttpClient;
import org.banyanstile.server.caller.CallWatch;
import org.banyanstile.server.caller.CallerServer;
import org.banyanstile.server.caller.EngineCanceller;
import org.banyanstile.server.caller.MemberDirectory;
import org.banyanstile.server.caller.RequestMetrics;
import org.banyanstile.server.caller.RequestServices;
import org.banyanstile.server.caller.ResponseCache;
import org.banyanstile.server.caller.RunningStreams;
import org.banyanstile.server.endpoint.EngineClient;
import org.banyanstile.server.endpoint.ServiceClient;
import org.banyanstile.server.operator.BurnCountersSource;
import org.banyanstile.server.operator.OperatorServer;
import org.banyanstile.server.router.DecisionLog;
import org.banyanstile.server.vm.Addresses;
import org.jspecify.annotations.Nullable;

/**
 * Runs the router on one VM of the fleet.
 *
 * @author banyanstile contributors
 */
public final class Daemon implements AutoCloseable {

	private static final Duration RESPONSE_CACHE_RETENTION = Duration.ofSeconds(60);

	private static final long RESPONSE_CACHE_BYTES = 16L * 1024 * 1024;

	private static final int MAX_BURN_SERIES = 10_000;

	/**
	 * Other VMs learn from the next heartbeat that this one is leaving, so their lists
	 * show it for up to two heartbeat periods.
	 */
	private static final long LIST_LAG_NANOS = Duration.ofSeconds(2).toNanos();

	private static final long POLL_MILLIS = 20;

	private static final Logger logger = LogManager.getLogger(Daemon.class);

	private final VmSettings settings;

	private final AppliedConfiguration configuration;

	private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

	private final BurnCounters burn = BurnCounters.create(MAX_BURN_SERIES);

	private final HttpClient http = HttpClient.create(2);

	private final RunningStreams running = new RunningStreams();

	private final ExecutorService actions = Executors.newCachedThreadPool(Daemon::daemonThread);

	private final EngineClient engine;

	private final EngineCanceller canceller;

	private final @Nullable FleetParts fleet;

	private final CallWatch watch;

	private final CallerServer callers;

	private final @Nullable OperatorServer operators;

	private Daemon(VmSettings settings, AppliedConfiguration configuration, boolean coordinated) throws IOException {
		this.settings = settings;
		this.configuration = configuration;
		this.engine = EngineClient.create(this.http, this::holder);
		this.canceller = EngineCanceller.create(this.engine, 4);
		FleetParts parts = coordinated
				? new FleetParts(settings, configuration, this.http, this.engine, this.canceller, this.running) : null;
		this.fleet = parts;
		RequestParts requests = (parts != null) ? parts.parts() : localParts();
		this.watch = CallWatch.start(configuration, requests.serving(), this.actions);
		this.callers = CallerServer.start(Addresses.parse(settings.callerAddress()), settings.workers(),
				services(requests), requests.members());
		if (parts != null) {
			parts.bindMetrics(this.registry);
			parts.start();
			this.operators = OperatorServer.start(Addresses.parse(settings.operatorAddress()),
					settings.operatorTokenHash(), parts.rollout(), () -> parts.status(this.callers.running()),
					BurnCountersSource.create(VmId.of(settings.vm()), this.burn, Ticker.system(), Clock.systemUTC()),
					this.registry);
		}
		else {
			this.operators = null;
		}
	}

	/**
	 * Starts a VM of a fleet.
	 * @param settings its settings
	 * @return the running VM
	 * @throws IOException if an address cannot be bound
	 */
	public static Daemon start(VmSettings settings) throws IOException {
		return new Daemon(settings, new AppliedConfiguration(), true);
	}

	/**
	 * Starts a VM without coordination, with local limits, slots and claims.
	 * @param settings its settings
	 * @param configuration the configuration
	 * @return the running VM
	 * @throws IOException if an address cannot be bound
	 */
	static Daemon startAlone(VmSettings settings, AppliedConfiguration configuration) throws IOException {
		return new Daemon(settings, configuration, false);
	}

	private static Thread daemonThread(Runnable task) {
		Thread thread = new Thread(task, "call-action");
		thread.setDaemon(true);
		return thread;
	}

	private String holder() {
		FleetParts parts = this.fleet;
		return (parts != null) ? parts.holder() : this.settings.vm() + "/0";
	}

	private RequestParts localParts() {
		List<MemberDirectory.Member> members = List
			.of(new MemberDirectory.Member(this.settings.callerAddress(), this.settings.dataCentre()));
		return new RequestParts(() -> true, LocalTeamLimiter.create(this.configuration, Ticker.system()),
				LocalSlotSource.create(this.configuration, () -> 1), LocalClaimService.create(),
				LocalStreamDirectory.create(), () -> members);
	}

	private RequestServices services(RequestParts parts) {
		return new RequestServices(DataCentreId.of(this.settings.dataCentre()), this.configuration, parts.serving(),
				parts.limiter(), parts.slots(), parts.claims(), parts.directory(), new RetryAllowance(), this.engine,
				ServiceClient.create(this.http), this.canceller, this.running,
				ResponseCache.create(RESPONSE_CACHE_RETENTION, RESPONSE_CACHE_BYTES, Ticker.system()), this.watch,
				RequestMetrics.create(this.registry, this.burn, Ticker.system()), DecisionLog.create());
	}

	/**
	 * Returns the port for callers.
	 * @return the port
	 */
	public int callerPort() {
		return this.callers.port();
	}

	/**
	 * Returns all metrics in the Prometheus text format.
	 * @return the text
	 */
	public String metrics() {
		return this.registry.scrape();
	}

	/**
	 * Shuts down without interrupting a request: this VM leaves the list of VMs, serves
	 * for as long as callers may hold a cached list, waits for running requests, and
	 * releases its partitions and slot.
	 */
	public void shutDown() {
		logger.info("shutting down, {} requests running", this.callers.running());
		FleetParts parts = this.fleet;
		if (parts != null) {
			parts.leave();
		}
		long windowEnd = System.nanoTime() + this.settings.shutdownWindow().toNanos();
		if (parts != null) {
			windowEnd += LIST_LAG_NANOS;
		}
		try {
			while (System.nanoTime() < windowEnd) {
				Thread.sleep(POLL_MILLIS);
			}
			this.callers.refuseNew();
			while (this.callers.running() > 0) {
				Thread.sleep(POLL_MILLIS);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		if (parts != null) {
			parts.release();
		}
		close();
		logger.info("shutdown complete");
	}

	/**
	 * Stops the VM immediately, without waiting for running requests.
	 */
	@Override
	public void close() {
		this.callers.close();
		OperatorServer operator = this.operators;
		if (operator != null) {
			operator.close();
		}
		FleetParts parts = this.fleet;
		if (parts != null) {
			parts.close();
		}
		this.watch.close();
		this.canceller.close();
		this.actions.shutdownNow();
		this.http.close();
		this.registry.close();
	}

}
