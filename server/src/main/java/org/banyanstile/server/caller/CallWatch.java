package org.banyanstile.server.caller;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.jspecify.annotations.Nullable;

/**
 * Monitors all running requests from one thread: polls the connections of their callers,
 * the validity of their keys and the serving check. A request that waits for a silent
 * endpoint could not check these itself.
 *
 * @author banyanstile contributors
 */
public final class CallWatch implements AutoCloseable {

	/**
	 * A disconnect must reach the engine within 1 s; polling may use a quarter of this.
	 */
	private static final long POLL_INTERVAL_MILLIS = 250;

	private final ConfigurationView configuration;

	private final ServingCheck serving;

	private final Set<Watched> calls = ConcurrentHashMap.newKeySet();

	private final ScheduledExecutorService timer;

	private final Executor abortExecutor;

	private CallWatch(ConfigurationView configuration, ServingCheck serving, Executor abortExecutor) {
		this.configuration = configuration;
		this.serving = serving;
		this.abortExecutor = abortExecutor;
		this.timer = Executors.newSingleThreadScheduledExecutor((task) -> {
			Thread thread = new Thread(task, "call-watch");
			thread.setDaemon(true);
			return thread;
		});
	}

	/**
	 * Starts monitoring.
	 * @param configuration the configuration
	 * @param serving the serving check
	 * @param abortExecutor runs the aborts, which may block
	 * @return the monitor
	 */
	public static CallWatch start(ConfigurationView configuration, ServingCheck serving, Executor abortExecutor) {
		CallWatch watch = new CallWatch(configuration, serving, abortExecutor);
		watch.timer.scheduleWithFixedDelay(watch::poll, POLL_INTERVAL_MILLIS, POLL_INTERVAL_MILLIS,
				TimeUnit.MILLISECONDS);
		return watch;
	}

	Watched add(CallControl control, CallerConnection connection, @Nullable Caller caller) {
		Watched watched = new Watched(control, connection, caller);
		this.calls.add(watched);
		return watched;
	}

	void remove(Watched watched) {
		this.calls.remove(watched);
		watched.connection().stop();
	}

	private void poll() {
		boolean mayServe = this.serving.mayServe();
		ServingConfiguration current = this.configuration.current();
		for (Watched watched : this.calls) {
			AbortReason reason = reason(watched, mayServe, current);
			if (reason != null && watched.control().reason() == null) {
				this.abortExecutor.execute(() -> watched.control().abort(reason));
			}
		}
	}

	private static @Nullable AbortReason reason(Watched watched, boolean mayServe, ServingConfiguration current) {
		if (watched.connection().isClosed()) {
			return AbortReason.CALLER_GONE;
		}
		Caller caller = watched.caller();
		if (caller != null && !current.accepts(caller)) {
			return AbortReason.KEY_WITHDRAWN;
		}
		return mayServe ? null : AbortReason.NOT_SERVING;
	}

	/**
	 * Returns the number of running requests.
	 * @return the number
	 */
	public int running() {
		return this.calls.size();
	}

	@Override
	public void close() {
		this.timer.shutdownNow();
	}

	/**
	 * A monitored request.
	 *
	 * @param control aborts the request
	 * @param connection connection of the caller
	 * @param caller team and key, or {@code null} on an open route
	 * @author banyanstile contributors
	 */
	record Watched(CallControl control, CallerConnection connection, @Nullable Caller caller) {

		@Override
		public boolean equals(@Nullable Object other) {
			return this == other;
		}

		@Override
		public int hashCode() {
			return System.identityHashCode(this);
		}

	}

}
