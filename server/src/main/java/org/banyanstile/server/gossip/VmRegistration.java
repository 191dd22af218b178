package org.banyanstile.server.gossip;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.banyanstile.core.common.Ticker;
import org.banyanstile.core.common.VmId;
import org.banyanstile.core.membership.RegisteredVms;
import org.banyanstile.server.router.DecisionLog;
import org.banyanstile.server.view.TableSource;
import org.banyanstile.server.view.TableSourceException;
import org.banyanstile.server.view.VmRow;

/**
 * Keeps the row of this VM in the store and knows the VMs of the fleet: those that are
 * registered and those that were heard. A VM that starts behind a cut learns from the
 * rows that there are others. The first VM removes rows of VMs that nobody has heard for
 * a minute; a VM that finds its row removed writes it again. Lock order: this object,
 * membership.
 *
 * @author banyanstile contributors
 */
public final class VmRegistration implements AutoCloseable {

	/**
	 * Pause between two reads of the rows in a small fleet. Other VMs are heard directly
	 * within half a second, so only VMs behind a cut depend on it.
	 */
	private static final long READ_MILLIS = 10_000;

	/**
	 * VMs above which each reads less often, so that the calls of all VMs together stay
	 * below one a second.
	 */
	private static final int SMALL_FLEET = 8;

	/**
	 * Pause after a failed call, some hundred times a usual answer.
	 */
	private static final long RETRY_MILLIS = 600;

	private final TableSource source;

	private final Membership membership;

	private final Ticker ticker;

	private final DecisionLog log;

	private final RegisteredVms registered = new RegisteredVms();

	private volatile boolean closed;

	private VmRegistration(TableSource source, Membership membership, Ticker ticker, DecisionLog log) {
		this.source = source;
		this.membership = membership;
		this.ticker = ticker;
		this.log = log;
	}

	/**
	 * Creates the registration of a VM; it calls nobody before {@link #start}.
	 * @param source the store
	 * @param membership the VMs that are heard
	 * @param ticker time source
	 * @param log log of changes
	 * @return the registration
	 */
	public static VmRegistration create(TableSource source, Membership membership, Ticker ticker, DecisionLog log) {
		return new VmRegistration(source, membership, ticker, log);
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
			long pause = RETRY_MILLIS;
			try {
				addresses.accept(round());
				pause = READ_MILLIS * Math.max(SMALL_FLEET, others().size()) / SMALL_FLEET;
			}
			catch (TableSourceException ex) {
				this.log.problem("registration of this VM is tried again", ex);
			}
			catch (RuntimeException ex) {
				this.log.problem("a row of a VM is not usable", ex);
			}
			pause(pause);
		}
	}

	/**
	 * Reads the rows, writes that of this VM if it is missing and, on the first VM,
	 * removes those of VMs that are gone.
	 * @return addresses of the registered VMs
	 * @throws TableSourceException if the store did not answer
	 */
	List<String> round() throws TableSourceException {
		GossipMember self = this.membership.self();
		List<VmRow> rows = this.source.registered();
		boolean listed = rows.stream()
			.anyMatch((row) -> row.vm().equals(self.vm()) && row.peerAddress().equals(self.peerAddress()));
		if (!listed) {
			this.source.register(self.vm(), self.peerAddress());
			this.log.belief("registered", "rows", rows.size());
		}
		Set<VmId> gone = note(rows);
		if (this.membership.rank(this.ticker.nanos()) == 0) {
			for (VmRow row : rows) {
				if (gone.contains(VmId.of(row.vm()))) {
					this.source.unregister(row);
					this.log.belief("row of a VM removed", "vm", row.vm(), "version", row.version());
				}
			}
		}
		return rows.stream().filter((row) -> !gone.contains(VmId.of(row.vm()))).map(VmRow::peerAddress).toList();
	}

	private synchronized Set<VmId> note(List<VmRow> rows) {
		long now = this.ticker.nanos();
		Set<VmId> heard = new HashSet<>();
		heard.add(VmId.of(this.membership.self().vm()));
		this.membership.alivePeers(now).forEach((member) -> heard.add(VmId.of(member.vm())));
		this.registered.setNamed(rows.stream().map((row) -> VmId.of(row.vm())).toList());
		this.registered.setListed(heard, now);
		return this.registered.missing();
	}

	/**
	 * Returns the other VMs among which limits are shared: registered, or heard within
	 * the last seconds.
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
	 * Ends the thread after its current call.
	 */
	@Override
	public void close() {
		this.closed = true;
	}

}
