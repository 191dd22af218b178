package org.banyanstile.server;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.banyanstile.config.VmSettings;
import org.banyanstile.core.common.DataCentreId;
import org.banyanstile.core.common.Ticker;
import org.banyanstile.io.http.HttpClient;
import org.banyanstile.server.caller.AnswerMemory;
import org.banyanstile.server.caller.CallWatch;
import org.banyanstile.server.caller.CallerServer;
import org.banyanstile.server.caller.EngineCanceller;
import org.banyanstile.server.caller.MemberDirectory;
import org.banyanstile.server.caller.RequestMetrics;
import org.banyanstile.server.caller.RequestServices;
import org.banyanstile.server.caller.RunningStreams;
import org.banyanstile.server.endpoint.EngineClient;
import org.banyanstile.server.endpoint.ServiceClient;

/**
 * A running VM of the fleet.
 *
 * @author banyanstile contributors
 */
public final class Daemon implements AutoCloseable {

	private static final Duration ANSWER_RETENTION = Duration.ofSeconds(60);

	private static final long ANSWER_BYTES = 16L * 1024 * 1024;

	private static final Duration POLL = Duration.ofMillis(20);

	private static final Logger logger = LogManager.getLogger(Daemon.class);

	private final Duration shutdownWindow;

	private final HttpClient http;

	private final EngineCanceller canceller;

	private final ExecutorService actions;

	private final CallWatch watch;

	private final CallerServer callers;

	private final PrometheusMeterRegistry registry;

	private volatile boolean leaving;

	private Daemon(VmSettings settings, AppliedConfiguration configuration) {
		this.shutdownWindow = Duration.ofSeconds(10);
		this.registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
		this.http = HttpClient.create(2);
		EngineClient engine = EngineClient.create(this.http, () -> settings.vm() + "/0");
		this.canceller = EngineCanceller.create(engine, 4);
		this.actions = Executors.newCachedThreadPool(Daemon::daemonThread);
		this.watch = CallWatch.start(configuration, () -> true, this.actions);
		RequestServices services = new RequestServices(DataCentreId.of(settings.dataCentre()), configuration,
				() -> true, LocalTeamLimiter.create(configuration, Ticker.system()),
				LocalSlotSource.create(configuration, () -> 1), LocalClaimService.create(),
				LocalStreamDirectory.create(), new RetryAllowance(), engine, ServiceClient.create(this.http),
				this.canceller, new RunningStreams(),
				AnswerMemory.create(ANSWER_RETENTION, ANSWER_BYTES, Ticker.system()), this.watch,
				RequestMetrics.create(this.registry));
		this.callers = CallerServer.start(Addresses.parse(settings.callerAddress()), settings.workers(), services,
				() -> members(settings));
	}

	/**
	 * Starts a VM.
	 * @param settings its settings
	 * @return the running VM
	 */
	public static Daemon start(VmSettings settings) {
		return new Daemon(settings, new AppliedConfiguration());
	}

	static Daemon start(VmSettings settings, AppliedConfiguration configuration) {
		return new Daemon(settings, configuration);
	}

	private static Thread daemonThread(Runnable task) {
		Thread thread = new Thread(task, "call-action");
		thread.setDaemon(true);
		return thread;
	}

	private List<MemberDirectory.Member> members(VmSettings settings) {
		return this.leaving ? List.of()
				: List.of(new MemberDirectory.Member(settings.callerAddress(), settings.dataCentre()));
	}

	/**
	 * Returns the port for callers.
	 * @return the port
	 */
	public int callerPort() {
		return this.callers.port();
	}

	/**
	 * Returns all meters as Prometheus text.
	 * @return the text
	 */
	public String metrics() {
		return this.registry.scrape();
	}

	/**
	 * Shuts down without cutting off a request: this VM leaves the list of VMs, serves
	 * for as long as callers may hold a cached list, and waits for running requests.
	 */
	public void shutDown() {
		this.leaving = true;
		logger.info("shutting down, {} requests running", this.callers.running());
		long windowEnd = System.nanoTime() + this.shutdownWindow.toNanos();
		try {
			while (System.nanoTime() < windowEnd || this.callers.running() > 0) {
				Thread.sleep(POLL.toMillis());
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		close();
		logger.info("shutdown complete");
	}

	/**
	 * Ends the VM at once.
	 */
	@Override
	public void close() {
		this.callers.close();
		this.watch.close();
		this.canceller.close();
		this.actions.shutdownNow();
		this.http.close();
		this.registry.close();
	}

}
