package org.banyanstile.server.view;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import org.banyanstile.core.common.Ticker;
import org.banyanstile.core.replica.StoreVersion;
import org.banyanstile.server.router.DecisionLog;
import org.jspecify.annotations.Nullable;

/**
 * Confirms that the copy of the endpoint table lacks nothing that another VM can have
 * acted on. The age of the copy does not tell, since the clock of a process that was
 * suspended has not counted that time. So the store is read anew; while it does not
 * respond, the other VMs are asked. Requests that come meanwhile share the next read.
 * Safe for use by several threads.
 *
 * @author banyanstile contributors
 */
public final class EndpointConfirmation {

	/**
	 * Time after a failed read of the store in which only other VMs are asked, so that
	 * few requests wait for a store that is down.
	 */
	static final long STORE_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(1);

	private final FleetView view;

	private final TableSource store;

	private final Ticker ticker;

	private final DecisionLog log;

	private volatile BooleanSupplier peers = () -> false;

	private Check latest = Check.none();

	private volatile @Nullable Long storeFailedAt;

	private EndpointConfirmation(FleetView view, TableSource store, Ticker ticker, DecisionLog log) {
		this.view = view;
		this.store = store;
		this.ticker = ticker;
		this.log = log;
	}

	/**
	 * Creates an object that asks no other VMs.
	 * @param view copy of the store's tables
	 * @param store the store
	 * @param ticker time source
	 * @param log log of problems
	 * @return the object
	 */
	public static EndpointConfirmation create(FleetView view, TableSource store, Ticker ticker, DecisionLog log) {
		return new EndpointConfirmation(view, store, ticker, log);
	}

	/**
	 * Sets how other VMs are asked.
	 * @param poll returns whether enough of them know no newer version of the table
	 */
	public void askPeers(BooleanSupplier poll) {
		this.peers = poll;
	}

	/**
	 * Confirms the copy as of the time of this call, or brings it up to date.
	 * @return whether it is confirmed
	 */
	public boolean confirm() {
		long needed = nextNumber();
		while (true) {
			Check check;
			boolean isOwn;
			synchronized (this) {
				isOwn = this.latest.number < needed && this.latest.result.isDone();
				if (isOwn) {
					this.latest = new Check(this.latest.number + 1);
				}
				check = this.latest;
			}
			boolean confirmed = isOwn ? run(check) : check.result.join();
			if (check.number >= needed) {
				return confirmed;
			}
		}
	}

	// A check that has already begun may have read the table before this call.
	private synchronized long nextNumber() {
		return this.latest.number + 1;
	}

	private boolean run(Check check) {
		boolean confirmed = false;
		try {
			confirmed = readStore() || this.peers.getAsBoolean();
		}
		finally {
			check.result.complete(confirmed);
		}
		return confirmed;
	}

	private boolean readStore() {
		Long failedAt = this.storeFailedAt;
		if (failedAt != null && this.ticker.nanos() - failedAt < STORE_PAUSE_NANOS) {
			return false;
		}
		try {
			readChanges();
			this.storeFailedAt = null;
			return true;
		}
		catch (TableSourceException ex) {
			this.storeFailedAt = this.ticker.nanos();
			this.log.problem("the store does not confirm the endpoints; other VMs are asked", ex);
			return false;
		}
	}

	private void readChanges() throws TableSourceException {
		long after = this.view.version(FleetTable.ENDPOINTS);
		if (after >= 0) {
			try {
				this.view.apply(FleetTable.ENDPOINTS, after, this.store.promptChanges(FleetTable.ENDPOINTS, after));
				return;
			}
			catch (HistoryLostException ex) {
				this.log.stateChange("history lost", "table", FleetTable.ENDPOINTS, "version",
						StoreVersion.toText(after), "reason", ex.getMessage());
			}
		}
		this.view.replace(FleetTable.ENDPOINTS, this.store.readAll(FleetTable.ENDPOINTS));
	}

	/**
	 * One read of the store, or poll of other VMs. Numbers order them, since the clock
	 * may stand still.
	 *
	 * @author banyanstile contributors
	 */
	private static final class Check {

		private final long number;

		private final CompletableFuture<Boolean> result = new CompletableFuture<>();

		private Check(long number) {
			this.number = number;
		}

		private static Check none() {
			Check none = new Check(0);
			none.result.complete(false);
			return none;
		}

	}

}
