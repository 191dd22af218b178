package org.banyanstile.server.platform;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.BooleanSupplier;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.banyanstile.core.common.VmId;
import org.banyanstile.core.lease.ObservedSlot;
import org.banyanstile.core.lease.SlotRecord;
import org.banyanstile.core.lease.StoreReply;
import org.banyanstile.core.lease.StoreStep;
import org.banyanstile.core.membership.Heartbeat;
import org.banyanstile.core.membership.VmState;
import org.banyanstile.core.store.Row;
import org.banyanstile.core.store.RowCodec;
import org.banyanstile.core.store.TableStore;
import org.banyanstile.server.vm.MessageHandlers;
import org.banyanstile.server.vm.SlotRow;
import org.banyanstile.server.vm.SlotRows;
import org.banyanstile.server.vm.SlotRowsFetch;
import org.banyanstile.server.vm.VmPeers;
import org.banyanstile.server.vm.VmRequestException;

/**
 * Executes the store calls of {@link Coordination} in one thread and the reads of the
 * configuration head in another. Time limits are checked in a third, because a store call
 * can block for longer than a limit.
 *
 * @author banyanstile contributors
 */
public final class CoordinationLoop implements AutoCloseable {

	private static final Logger logger = LogManager.getLogger(CoordinationLoop.class);

	private static final long IDLE_MILLIS = 50;

	private static final long TICK_MILLIS = 200;

	private static final long PEERS_MILLIS = 1000;

	private static final long LIST_MILLIS = 5000;

	private static final Duration FETCH_TIMEOUT = Duration.ofSeconds(1);

	private final Coordination coordination;

	private final TableStore store;

	private final VmListClient vmList;

	private final VmPeers peers;

	private final RowCodec codec;

	private final Set<String> seeds;

	private final LongAdder storeCalls = new LongAdder();

	private final LongAdder storeFailures = new LongAdder();

	private final ScheduledThreadPoolExecutor timers = new ScheduledThreadPoolExecutor(3,
			(body) -> thread(body, "coordination-timer"));

	private final Thread storeThread;

	private final Thread pollThread;

	private volatile boolean closed;

	private volatile List<ListedVm> listed = List.of();

	private CoordinationLoop(Coordination coordination, TableStore store, VmListClient vmList, VmPeers peers,
			RowCodec codec, Collection<String> seeds) {
		this.coordination = coordination;
		this.store = store;
		this.vmList = vmList;
		this.peers = peers;
		this.codec = codec;
		this.seeds = Set.copyOf(seeds);
		this.storeThread = thread(() -> run(this::executeNext), "coordination-store");
		this.pollThread = thread(() -> run(this::pollNext), "coordination-poll");
	}

	/**
	 * Creates the loop.
	 * @param coordination the state whose store calls are executed
	 * @param store the table service
	 * @param vmList the platform's VM list
	 * @param peers connections to the other VMs
	 * @param codec codec of the rows
	 * @param seeds addresses of VMs to contact while the table service is down
	 * @return the loop
	 */
	public static CoordinationLoop create(Coordination coordination, TableStore store, VmListClient vmList,
			VmPeers peers, RowCodec codec, Collection<String> seeds) {
		return new CoordinationLoop(coordination, store, vmList, peers, codec, seeds);
	}

	/**
	 * Registers the handlers of heartbeats and slot rows, and starts the threads. The
	 * address of this VM must already be bound, see {@link VmPeers#start()}.
	 * @param handlers handlers of messages from other VMs
	 */
	public void start(MessageHandlers handlers) {
		handlers.registerInline(Heartbeat.class, (from, heartbeat) -> {
			if (heartbeat.vm().equals(from)) {
				this.coordination.receive(heartbeat);
			}
			return null;
		});
		handlers.register(SlotRowsFetch.class, (from, message) -> new SlotRows(rows()));
		this.peers.setHeartbeats(this.coordination::beginHeartbeats);
		this.peers.setHeartbeatPeriod(this.coordination::heartbeatPeriodNanos);
		this.peers.setHeartbeatPeriod(this.coordination::heartbeatPeriodNanos);
		StateChangeLog log = new StateChangeLog();
		schedule(TICK_MILLIS, () -> {
			this.coordination.tick();
			log.update(this.coordination);
		});
		schedule(PEERS_MILLIS, this::updatePeers);
		schedule(LIST_MILLIS, this::updateList);
		this.storeThread.start();
		this.pollThread.start();
	}

	private void schedule(long millis, Runnable task) {
		var unused = this.timers.scheduleAtFixedRate(() -> {
			try {
				task.run();
			}
			catch (RuntimeException ex) {
				// An uncaught exception would cancel the periodic task.
				logger.error("periodic coordination task failed", ex);
			}
		}, 0, millis, TimeUnit.MILLISECONDS);
	}

	private void run(BooleanSupplier call) {
		while (!this.closed) {
			try {
				if (!call.getAsBoolean()) {
					Thread.sleep(IDLE_MILLIS);
				}
			}
			catch (InterruptedException ex) {
				return;
			}
			catch (RuntimeException ex) {
				logger.error("coordination step failed", ex);
				pause();
			}
		}
	}

	private boolean executeNext() {
		StoreStep step = this.coordination.next();
		if (step == null) {
			return false;
		}
		this.coordination.complete(step, execute(step));
		return true;
	}

	private boolean pollNext() {
		StoreStep.Read step = this.coordination.nextPoll();
		if (step == null) {
			return false;
		}
		this.coordination.completePoll(step, execute(step));
		return true;
	}

	private StoreReply execute(StoreStep step) {
		StoreReply reply = StoreReply.execute(step, this.store);
		this.storeCalls.increment();
		if (reply instanceof StoreReply.Failed || reply instanceof StoreReply.Unknown) {
			this.storeFailures.increment();
		}
		return reply;
	}

	private void pause() {
		try {
			Thread.sleep(TICK_MILLIS);
		}
		catch (InterruptedException ex) {
			this.closed = true;
		}
	}

	private void updatePeers() {
		Set<String> addresses = new HashSet<>(this.seeds);
		for (ObservedSlot slot : this.coordination.slotRows()) {
			if (slot.record().isHeld()) {
				addresses.add(slot.record().vmAddress());
			}
		}
		this.peers.setAddresses(addresses);
		if (!this.coordination.isScanned()) {
			this.peers.connected().forEach(this::adoptFrom);
		}
	}

	private void adoptFrom(VmId vm) {
		try {
			SlotRows reply = this.peers.request(vm, new SlotRowsFetch(), SlotRows.class, FETCH_TIMEOUT);
			List<Row> rows = new ArrayList<>();
			reply.rows().forEach((row) -> rows.add(new Row(row.key(), row.version(), row.value())));
			this.coordination.adopt(rows);
		}
		catch (VmRequestException ex) {
			// Retried in the next second.
		}
	}

	private List<SlotRow> rows() {
		List<SlotRow> rows = new ArrayList<>();
		for (ObservedSlot slot : this.coordination.slotRows()) {
			SlotRecord row = slot.record();
			rows.add(new SlotRow(SlotRecord.key(row.slot()), slot.version(), row.encode(this.codec)));
		}
		return rows;
	}

	private void updateList() {
		Optional<List<ListedVm>> read = this.vmList.read();
		if (read.isPresent()) {
			this.listed = read.get();
			this.coordination.setListed(read.get().stream().map(ListedVm::vm).toList());
		}
	}

	/**
	 * Returns the platform's VM list as last read, which can be out of date.
	 * @return the VMs
	 */
	public List<ListedVm> listed() {
		return this.listed;
	}

	/**
	 * Returns the number of store calls.
	 * @return the counter
	 */
	public LongAdder storeCalls() {
		return this.storeCalls;
	}

	/**
	 * Returns the number of store calls without a usable reply.
	 * @return the counter
	 */
	public LongAdder storeFailures() {
		return this.storeFailures;
	}

	/**
	 * Releases the partitions and then the slot of this VM, for a graceful shutdown.
	 * @param timeout maximum wait; a partition or slot not released by then expires
	 * @return whether everything was released
	 * @throws InterruptedException if the thread was interrupted
	 */
	public boolean release(Duration timeout) throws InterruptedException {
		long deadline = System.nanoTime() + timeout.toNanos();
		this.coordination.setState(VmState.LEAVING);
		long partitionDeadline = deadline - timeout.toNanos() / 2;
		while (!this.coordination.owned().isEmpty() && System.nanoTime() - partitionDeadline < 0) {
			Thread.sleep(IDLE_MILLIS);
		}
		this.coordination.setState(VmState.RELEASED);
		while (!this.coordination.isReleased() && System.nanoTime() - deadline < 0) {
			Thread.sleep(IDLE_MILLIS);
		}
		return this.coordination.isReleased();
	}

	/**
	 * Stops the threads without releasing the partitions and the slot.
	 */
	@Override
	public void close() {
		this.closed = true;
		this.timers.shutdownNow();
		this.storeThread.interrupt();
		this.pollThread.interrupt();
	}

	private static Thread thread(Runnable body, String name) {
		Thread thread = new Thread(body, name);
		thread.setDaemon(true);
		return thread;
	}

}
