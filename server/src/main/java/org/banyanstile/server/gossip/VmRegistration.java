package org.banyanstile.server.gossip;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import org.banyanstile.core.common.Ticker;
import org.banyanstile.core.common.VmId;
import org.banyanstile.core.membership.RegisteredVms;
import org.banyanstile.server.router.DecisionLog;
import org.banyanstile.server.view.TableSource;
import org.banyanstile.server.view.TableSourceException;
import org.banyanstile.server.view.VmRow;

/**
 * Keeps the row of this VM in the store and tracks the VMs of the fleet: those that are
 * registered and those whose heartbeats are received. A VM that starts in a network
 * partition learns from the rows that there are others. The live VM with the lowest name
 * removes rows of VMs without a heartbeat for a minute; a VM whose row was removed writes
 * it again. Lock order: this object, membership.
 *
 * @author banyanstile contributors
 */
public final class VmRegistration implements AutoCloseable {

	/**
	 * Pause between two reads of the rows in a small fleet. Heartbeats of other VMs
	 * arrive within half a second, so only VMs in a network partition depend on the rows.
	 */
	private static final long READ_INTERVAL_MILLIS = 10_000;

	/**
	 * Time after its write in which a row is lost if the store returns from a copy.
	 */
	private static final long COPY_NANOS = 60_000_000_000L;

	/**
	 * Longest pause between two looks at the era of the store.
	 */
	private static final long ERA_CHECK_MILLIS = 1000;

	/**
	 * Number of VMs above which each reads less often, so that the calls of all VMs
	 * together stay below one a second.
	 */
	private static final int SMALL_FLEET = 8;

	/**
	 * Pause after a failed call, some hundred times the usual response time.
	 */
	private static final long RETRY_DELAY_MILLIS = 600;

	private final TableSource source;

	private final LongSupplier era;

	private final Membership membership;

	private final Ticker ticker;

	private final DecisionLog log;

	private final RegisteredVms registered = new RegisteredVms();

	private volatile boolean closed;

	private long registeredAtNanos;

	private long registeredEra = -1;

	private VmRegistration(TableSource source, LongSupplier era, Membership membership, Ticker ticker,
			DecisionLog log) {
		this.source = source;
		this.era = era;
		this.membership = membership;
		this.ticker = ticker;
		this.log = log;
	}

	/**
	 * Creates the registration of a VM, which is idle until {@link #start} is called.
	 * @param source the store
	 * @param era returns the era of the store as this VM knows it
	 * @param membership the VMs whose heartbeats are received
	 * @param ticker time source
	 * @param log log of changes
	 * @return the registration
	 */
	public static VmRegistration create(TableSource source, LongSupplier era, Membership membership, Ticker ticker,
			DecisionLog log) {
		return new VmRegistration(source, era, membership, ticker, log);
	}

	/**
	 * Starts to register this VM and to read the rows.
	 * @param addresses receives the addresses of the registered VMs after each read
	 */
	public void start(Consumer<Collection<String>> addresses) {
		Thread thread = new Thread(() -> run(addresses), "registration");
		thread.setDaemon(true);
		thread.start();
	}

	private void run(Consumer<Collection<String>> addresses) {
		while (!this.closed) {
			long pause = RETRY_DELAY_MILLIS;
			try {
				addresses.accept(reconcile());
				pause = READ_INTERVAL_MILLIS * Math.max(SMALL_FLEET, others().size()) / SMALL_FLEET;
			}
			catch (TableSourceException ex) {
				this.log.problem("registration of this VM failed and will be retried", ex);
			}
			catch (RuntimeException | Error ex) {
				this.log.problem("a VM row of the store is invalid", ex);
			}
			pauseUnlessLost(pause);
		}
	}

	// A VM that starts in a network partition depends on the rows, and in a large fleet
	// the
	// next read is minutes away.
	private void pauseUnlessLost(long millis) {
		long end = this.ticker.nanos() + TimeUnit.MILLISECONDS.toNanos(millis);
		long left = millis;
		while (left > 0 && !isRowLost() && !this.closed) {
			pause(Math.min(left, ERA_CHECK_MILLIS));
			left = TimeUnit.NANOSECONDS.toMillis(end - this.ticker.nanos());
		}
	}

	/**
	 * Returns whether the store has returned from a copy soon after the row of this VM
	 * was written, so that it may lack the row.
	 * @return whether it has, once for each return
	 */
	boolean isRowLost() {
		long now = this.era.getAsLong();
		if (this.registeredEra < 0 || now <= this.registeredEra) {
			return false;
		}
		this.registeredEra = now;
		return this.ticker.nanos() - this.registeredAtNanos < COPY_NANOS;
	}

	/**
	 * Reads the rows, writes that of this VM if it is missing and, on the VM of rank 0,
	 * removes the rows of missing VMs.
	 * @return addresses of the registered VMs
	 * @throws TableSourceException if the store did not respond
	 */
	List<String> reconcile() throws TableSourceException {
		GossipMember self = this.membership.self();
		List<VmRow> rows = this.source.registered().stream().filter(this::isNamed).toList();
		boolean hasOwnRow = rows.stream()
			.anyMatch((row) -> row.vm().equals(self.vm()) && row.peerAddress().equals(self.peerAddress()));
		if (!hasOwnRow) {
			this.source.register(self.vm(), self.peerAddress());
			this.registeredAtNanos = this.ticker.nanos();
			this.registeredEra = this.era.getAsLong();
			this.log.stateChange("registered", "rows", rows.size());
		}
		Set<VmId> missing = updateRegistered(rows);
		if (this.membership.rank(this.ticker.nanos()) == 0) {
			for (VmRow row : rows) {
				if (missing.contains(VmId.of(row.vm()))) {
					this.source.unregister(row);
					this.log.stateChange("row of a VM removed", "vm", row.vm(), "version", row.version());
				}
			}
		}
		return rows.stream().filter((row) -> !missing.contains(VmId.of(row.vm()))).map(VmRow::peerAddress).toList();
	}

	private boolean isNamed(VmRow row) {
		try {
			VmId.of(row.vm());
			return true;
		}
		catch (IllegalArgumentException ex) {
			this.log.problem("ignored a VM row of the store", ex);
			return false;
		}
	}

	private synchronized Set<VmId> updateRegistered(List<VmRow> rows) {
		long now = this.ticker.nanos();
		Set<VmId> alive = new HashSet<>();
		alive.add(VmId.of(this.membership.self().vm()));
		this.membership.alivePeers(now).forEach((member) -> alive.add(VmId.of(member.vm())));
		this.registered.setNamed(rows.stream().map((row) -> VmId.of(row.vm())).toList());
		this.registered.setListed(alive, now);
		return this.registered.missing();
	}

	/**
	 * Returns the other VMs among which limits are shared: those that are registered or
	 * are not yet forgotten by the membership.
	 * @return their names
	 */
	public synchronized Set<String> others() {
		Set<String> names = new HashSet<>();
		this.registered.all().forEach((vm) -> names.add(vm.name()));
		this.membership.knownPeers().forEach((member) -> names.add(member.vm()));
		names.remove(this.membership.self().vm());
		return names;
	}

	private static void pause(long millis) {
		try {
			TimeUnit.MILLISECONDS.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Tells the thread to end after its current call.
	 */
	@Override
	public void close() {
		this.closed = true;
	}

}
