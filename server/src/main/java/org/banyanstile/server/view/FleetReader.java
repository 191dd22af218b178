package org.banyanstile.server.view;

import java.time.Duration;
import java.util.function.IntSupplier;

import org.banyanstile.core.replica.StoreVersion;
import org.banyanstile.server.router.DecisionLog;

/**
 * Polls the store and applies changes to the view. Only the live VM with the lowest name
 * polls all the time. Another VM polls once neither the store nor another VM has
 * confirmed its copy for some time, which is longer for a VM of higher rank. So no
 * election is needed when the store rejects the polling VM, or when that VM freezes or
 * fails, and the number of calls does not grow with the fleet. One thread for each table.
 *
 * @author banyanstile contributors
 */
public final class FleetReader implements AutoCloseable {

	/**
	 * Longest time that the store waits for a change of the operator's table. The store
	 * confirms an unchanged copy this often.
	 */
	private static final Duration OPERATOR_WAIT = Duration.ofMillis(400);

	/**
	 * Pause between two reads of the endpoints, well below the two seconds after which a
	 * draining endpoint must get no more work.
	 */
	private static final long ENDPOINT_PAUSE_MILLIS = 500;

	/**
	 * Age of the copy after which the other VMs poll the store, without the delay for
	 * their rank: the time of a read, a call and two gossip rounds. With the delays for
	 * the ranks it stays within the two seconds in which a configuration must be in
	 * force.
	 */
	private static final long STALE_MILLIS = 1000;

	private static final long DELAY_MILLIS_PER_RANK = 120;

	private static final int MAX_RANK = 4;

	/**
	 * Shortest and longest time between two checks of the age of a copy. A longer one
	 * would delay the takeover of polling after a change of ranks.
	 */
	private static final long MIN_AGE_CHECK_MILLIS = 50;

	private static final long MAX_AGE_CHECK_MILLIS = 500;

	/**
	 * Longest pause after failed calls.
	 */
	private static final long MAX_BACKOFF_MILLIS = 600;

	private final TableSource source;

	private final FleetView view;

	private final IntSupplier rank;

	private final DecisionLog log;

	private volatile boolean closed;

	private volatile boolean reachable = true;

	private long loggedEra = -1;

	private FleetReader(TableSource source, FleetView view, IntSupplier rank, DecisionLog log) {
		this.source = source;
		this.view = view;
		this.rank = rank;
		this.log = log;
	}

	/**
	 * Creates a reader that is idle until {@link #start} is called.
	 * @param source the store
	 * @param view the view to update
	 * @param rank number of live VMs whose names sort before this VM's name
	 * @param log log of changes
	 * @return the reader
	 */
	public static FleetReader create(TableSource source, FleetView view, IntSupplier rank, DecisionLog log) {
		return new FleetReader(source, view, rank, log);
	}

	/**
	 * Starts the reader threads.
	 */
	public void start() {
		thread("operator-reader", () -> run(FleetTable.OPERATOR));
		thread("endpoint-reader", () -> run(FleetTable.ENDPOINTS));
	}

	private static void thread(String name, Runnable body) {
		Thread thread = new Thread(body, name);
		thread.setDaemon(true);
		thread.start();
	}

	private void run(FleetTable table) {
		long failures = 0;
		boolean readWhole = true;
		boolean followsWholeRead = false;
		while (!this.closed) {
			long millisUntilDue = millisUntilDue(this.view.millisSinceConfirmation(table));
			if (!readWhole && millisUntilDue > 0) {
				pause(Math.max(MIN_AGE_CHECK_MILLIS, Math.min(MAX_AGE_CHECK_MILLIS, millisUntilDue)));
				continue;
			}
			try {
				read(table, readWhole);
				followsWholeRead = readWhole;
				readWhole = false;
				failures = 0;
				logEra();
				setReachable(true, "");
				pause((table == FleetTable.ENDPOINTS) ? ENDPOINT_PAUSE_MILLIS : 0);
			}
			catch (HistoryLostException ex) {
				logEra();
				this.log.stateChange("history lost", "table", table, "version",
						StoreVersion.toText(this.view.version(table)), "era", this.source.era());
				readWhole = true;
				// A whole read that the next call contradicts is not repeated at once.
				pause(followsWholeRead ? MAX_BACKOFF_MILLIS : 0);
			}
			catch (TableSourceException ex) {
				setReachable(false, String.valueOf(ex.getMessage()));
				failures++;
				pause(Math.min(MAX_BACKOFF_MILLIS, 100 * failures));
			}
			catch (RuntimeException | Error ex) {
				this.log.problem("failed to read table " + table + " from the store", ex);
				pause(MAX_BACKOFF_MILLIS);
			}
		}
	}

	private long millisUntilDue(long ageMillis) {
		int cappedRank = Math.min(MAX_RANK, this.rank.getAsInt());
		return (cappedRank == 0) ? 0 : STALE_MILLIS + DELAY_MILLIS_PER_RANK * cappedRank - ageMillis;
	}

	private void read(FleetTable table, boolean whole) throws TableSourceException {
		long after = this.view.version(table);
		if (whole || after < 0) {
			this.view.replace(table, this.source.readAll(table));
			return;
		}
		Duration wait = (table == FleetTable.OPERATOR) ? OPERATOR_WAIT : Duration.ZERO;
		this.view.apply(table, after, this.source.changes(table, after, wait));
	}

	private synchronized void logEra() {
		long era = this.source.era();
		if (era != this.loggedEra) {
			this.log.lifecycle("store era", "era", era, "previous", this.loggedEra, "operatorVersion",
					StoreVersion.toText(this.view.version(FleetTable.OPERATOR)), "endpointVersion",
					StoreVersion.toText(this.view.version(FleetTable.ENDPOINTS)), "storeMillis",
					this.view.storeMillis(FleetTable.OPERATOR));
			this.loggedEra = era;
		}
	}

	private void setReachable(boolean now, String reason) {
		if (now != this.reachable) {
			this.reachable = now;
			this.log.lifecycle(now ? "store is back" : "store lost", "reason", reason);
		}
	}

	private static void pause(long millis) {
		if (millis <= 0) {
			return;
		}
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Tells the threads to end after their current call.
	 */
	@Override
	public void close() {
		this.closed = true;
	}

}
