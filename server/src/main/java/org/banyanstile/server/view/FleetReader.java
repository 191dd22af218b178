package org.banyanstile.server.view;

import java.time.Duration;
import java.util.function.IntSupplier;

import org.banyanstile.server.router.DecisionLog;

/**
 * Reads the store and passes changes to the view. Only the first VM of the fleet reads
 * all the time; another one reads when neither the store nor another VM has vouched for
 * its copy for some time, the sooner the earlier it stands in the fleet. So a reader that
 * the store turns away, that freezes or that is lost needs no election, and the calls do
 * not grow with the fleet. One thread for each table.
 *
 * @author banyanstile contributors
 */
public final class FleetReader implements AutoCloseable {

	/**
	 * Longest wait of the store for a change of the operator's table. A copy is vouched
	 * for this often.
	 */
	private static final Duration OPERATOR_WAIT = Duration.ofMillis(400);

	/**
	 * Pause between two reads of the endpoints, well below the two seconds within which a
	 * draining endpoint must get no more work.
	 */
	private static final long ENDPOINT_PAUSE_MILLIS = 500;

	/**
	 * Age of the copy at which the second VM of the fleet reads itself: a read, a call
	 * and two rounds between VMs. With the ranks below it stays within the two seconds in
	 * which a configuration must be in force.
	 */
	private static final long STALE_MILLIS = 1000;

	private static final long RANK_MILLIS = 120;

	private static final int MAX_RANK = 4;

	private static final long CHECK_MILLIS = 100;

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

	private FleetReader(TableSource source, FleetView view, IntSupplier rank, DecisionLog log) {
		this.source = source;
		this.view = view;
		this.rank = rank;
		this.log = log;
	}

	/**
	 * Creates a reader; it reads nothing before {@link #start}.
	 * @param source the store
	 * @param view the view to update
	 * @param rank number of living VMs that stand before this one in the fleet
	 * @param log log of changes
	 * @return the reader
	 */
	public static FleetReader create(TableSource source, FleetView view, IntSupplier rank, DecisionLog log) {
		return new FleetReader(source, view, rank, log);
	}

	/**
	 * Starts to read.
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
		boolean reread = true;
		long seen = -1;
		long seenAt = System.nanoTime();
		while (!this.closed) {
			long millis = this.view.storeMillis(table);
			if (millis != seen) {
				seen = millis;
				seenAt = System.nanoTime();
			}
			if (!reread && !isDue((System.nanoTime() - seenAt) / 1_000_000)) {
				pause(CHECK_MILLIS);
				continue;
			}
			try {
				read(table, reread);
				reread = false;
				failures = 0;
				reached(true, "");
				pause((table == FleetTable.ENDPOINTS) ? ENDPOINT_PAUSE_MILLIS : 0);
			}
			catch (HistoryLostException ex) {
				this.log.belief("history lost", "table", table, "version", this.view.version(table));
				reread = true;
			}
			catch (TableSourceException ex) {
				reached(false, String.valueOf(ex.getMessage()));
				failures++;
				pause(Math.min(MAX_BACKOFF_MILLIS, 100 * failures));
			}
			catch (RuntimeException ex) {
				this.log.problem("reading the table " + table + " failed", ex);
				pause(MAX_BACKOFF_MILLIS);
			}
		}
	}

	private boolean isDue(long ageMillis) {
		int place = Math.min(MAX_RANK, this.rank.getAsInt());
		return place == 0 || ageMillis > STALE_MILLIS + RANK_MILLIS * place;
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

	private void reached(boolean now, String reason) {
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
	 * Ends the threads after their current call.
	 */
	@Override
	public void close() {
		this.closed = true;
	}

}
