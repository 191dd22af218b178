package org.banyanstile.server.router;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;

import org.banyanstile.core.common.Ticker;
import org.banyanstile.core.stream.ServedVersion;
import org.banyanstile.core.stream.StreamOrigin;
import org.banyanstile.core.stream.StreamOrigins;
import org.banyanstile.core.stream.VersionHistory;
import org.banyanstile.server.view.FleetView;
import org.banyanstile.server.view.StreamWrite;
import org.banyanstile.server.view.TableSource;
import org.banyanstile.server.view.TableSourceException;

/**
 * Writes the origins of streams to the store while a service has several software
 * versions, in batches, so that a stream can be taken up after its VM has failed. A
 * stream that is not written yet when its VM fails is refused, so a batch need not be
 * awaited.
 *
 * @author banyanstile contributors
 */
final class StreamRecorder implements AutoCloseable {

	/**
	 * Shortest interval between two batches. The streams of this time are lost with a VM.
	 */
	private static final long INTERVAL_MILLIS = 100;

	/**
	 * Longest interval between two batches.
	 */
	private static final long MAX_INTERVAL_MILLIS = 500;

	/**
	 * Share of each VM in the interval. All VMs together write a hundred batches a
	 * second, half of what a part of the store takes, until the longest interval is
	 * reached.
	 */
	private static final long INTERVAL_MILLIS_PER_VM = 10;

	/**
	 * Interval at which the VM of the lowest name writes which versions serve.
	 */
	private static final long VERSIONS_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(2);

	/**
	 * Longest time between two writes of the versions that serve: the interval and a call
	 * that times out.
	 */
	static final long MAX_WRITE_INTERVAL_MILLIS = 3500;

	/**
	 * Entries of a batch, within the limit of a transaction.
	 */
	private static final int MAX_ORIGINS = 60;

	private static final int MAX_REMOVED = 30;

	/**
	 * Interval at which the VM of the lowest name removes the origins that failed VMs
	 * have left behind.
	 */
	private static final long SWEEP_INTERVAL_NANOS = 2 * StreamOrigins.LIFETIME_NANOS;

	private final StreamVersions versions;

	private final FleetView view;

	private final TableSource store;

	private final BooleanSupplier isLowest;

	private final IntSupplier vms;

	private final Ticker ticker;

	private final DecisionLog log;

	private final Deque<String> expired = new ArrayDeque<>();

	private long ranAtNanos;

	private long versionsWrittenAtNanos;

	private long activeAtNanos;

	private boolean isSweepDue;

	private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor((body) -> {
		Thread thread = new Thread(body, "stream-recorder");
		thread.setDaemon(true);
		return thread;
	});

	private StreamRecorder(StreamVersions versions, FleetView view, TableSource store, BooleanSupplier isLowest,
			IntSupplier vms, Ticker ticker, DecisionLog log) {
		this.versions = versions;
		this.view = view;
		this.store = store;
		this.isLowest = isLowest;
		this.vms = vms;
		this.ticker = ticker;
		this.ranAtNanos = ticker.nanos();
		this.log = log;
	}

	/**
	 * Starts to write the origins of streams.
	 * @param versions the origins that this VM knows
	 * @param view copy of the store's tables
	 * @param store the store
	 * @param isLowest whether this VM has the lowest name of all live VMs
	 * @param vms number of live VMs
	 * @param ticker time source
	 * @param log log of decisions
	 * @return the recorder
	 */
	static StreamRecorder start(StreamVersions versions, FleetView view, TableSource store, BooleanSupplier isLowest,
			IntSupplier vms, Ticker ticker, DecisionLog log) {
		StreamRecorder recorder = new StreamRecorder(versions, view, store, isLowest, vms, ticker, log);
		var unused = recorder.timer.scheduleWithFixedDelay(recorder::run, INTERVAL_MILLIS, INTERVAL_MILLIS,
				TimeUnit.MILLISECONDS);
		return recorder;
	}

	private void run() {
		long now = this.ticker.nanos();
		long interval = Math.min(MAX_INTERVAL_MILLIS, INTERVAL_MILLIS_PER_VM * this.vms.getAsInt());
		if (now - this.ranAtNanos < TimeUnit.MILLISECONDS.toNanos(interval)) {
			return;
		}
		this.ranAtNanos = now;
		try {
			writeBatch();
			sweep();
		}
		catch (TableSourceException ex) {
			this.log.problem("origins of streams were not written; streams of this VM may be refused elsewhere", ex);
		}
		catch (RuntimeException | Error ex) {
			this.log.problem("writing the origins of streams failed", ex);
		}
	}

	private void writeBatch() throws TableSourceException {
		long now = this.ticker.nanos();
		Set<String> services = this.versions.servicesWithSeveral();
		this.expired.addAll(this.versions.origins().expire(MAX_REMOVED, now));
		Map<String, StreamOrigin> origins = this.versions.origins().unwritten(services, MAX_ORIGINS);
		boolean areVersionsDue = !services.isEmpty() && this.isLowest.getAsBoolean()
				&& now - this.versionsWrittenAtNanos >= VERSIONS_INTERVAL_NANOS;
		if (!services.isEmpty()) {
			this.activeAtNanos = now;
			this.isSweepDue = true;
		}
		boolean isRemovalDue = this.expired.size() >= MAX_REMOVED;
		if (origins.isEmpty() && !areVersionsDue && !isRemovalDue) {
			return;
		}
		VersionHistory history = this.versions.history();
		// A VM that has just started would replace what others wrote before.
		if (!services.isEmpty() && !history.isComplete(VersionHistory.MEMORY_NANOS, now) && !this.versions.learn()) {
			return;
		}
		List<String> removed = new ArrayList<>(this.expired).subList(0, Math.min(MAX_REMOVED, this.expired.size()));
		List<ServedVersion> served = history.reports(now)
			.stream()
			.filter((version) -> services.contains(version.service()))
			.toList();
		this.store.writeStreams(new StreamWrite(origins, served, this.view.storeNowMillis(), removed));
		this.versions.origins().written(origins.keySet());
		removed.forEach((attempt) -> this.expired.remove());
		this.versionsWrittenAtNanos = now;
	}

	// Callers of the last streams have come back by then.
	private void sweep() throws TableSourceException {
		if (!this.isSweepDue || this.ticker.nanos() - this.activeAtNanos < SWEEP_INTERVAL_NANOS) {
			return;
		}
		this.isSweepDue = false;
		if (!this.isLowest.getAsBoolean()) {
			return;
		}
		List<String> old = this.store.oldStreams(TimeUnit.NANOSECONDS.toMillis(StreamOrigins.LIFETIME_NANOS));
		for (int from = 0; from < old.size(); from += MAX_REMOVED) {
			this.store.writeStreams(new StreamWrite(Map.of(), List.of(), this.view.storeNowMillis(),
					old.subList(from, Math.min(old.size(), from + MAX_REMOVED))));
		}
	}

	@Override
	public void close() {
		this.timer.shutdownNow();
	}

}
