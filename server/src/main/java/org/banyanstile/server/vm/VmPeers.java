package org.banyanstile.server.vm;

import java.io.IOException;
import java.time.Duration;
import java.util.Collection;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.banyanstile.core.common.VmId;
import org.banyanstile.core.membership.Heartbeat;
import org.banyanstile.io.frame.MessageCodec;
import org.jspecify.annotations.Nullable;

/**
 * Connections of this VM to all other VMs: heartbeats, requests with replies, and
 * messages without reply. Safe for use by several threads.
 *
 * @author banyanstile contributors
 */
public final class VmPeers implements AutoCloseable {

	private static final Logger logger = LogManager.getLogger(VmPeers.class);

	private static final int WORKERS = 16;

	private static final int WORKER_QUEUE = 1024;

	private static final int MAX_CONNECTIONS = 256;

	private static final long TICK_MILLIS = 250;

	private static final long TICK_NANOS = TICK_MILLIS * 1_000_000;

	private static final long WRITE_BLOCKED_NANOS = 2_000_000_000L;

	private final VmIdentity identity;

	private final MessageCodec codec;

	private final MessageHandlers handlers;

	private final VmCounters counters = new VmCounters();

	private final Map<String, VmPeer> peers = new ConcurrentHashMap<>();

	private final ThreadPoolExecutor workers;

	private final ScheduledExecutorService timer;

	private volatile Set<String> configuredAddresses = Set.of();

	private volatile LongSupplier heartbeatPeriodNanos = () -> 4 * TICK_NANOS;

	private long lastHeartbeatRound = System.nanoTime() - 4 * TICK_NANOS;

	private volatile Supplier<Function<VmId, Heartbeat>> heartbeats = () -> (vm) -> {
		throw new IllegalStateException("the source of heartbeats is not set");
	};

	private @Nullable VmServer server;

	private VmPeers(VmIdentity identity, MessageCodec codec, MessageHandlers handlers) {
		this.identity = identity;
		this.codec = codec;
		this.handlers = handlers;
		this.workers = new ThreadPoolExecutor(WORKERS, WORKERS, 10, TimeUnit.SECONDS,
				new ArrayBlockingQueue<>(WORKER_QUEUE), (body) -> VmThreads.create("vm-worker", body));
		this.workers.allowCoreThreadTimeOut(true);
		this.timer = Executors.newSingleThreadScheduledExecutor((body) -> VmThreads.create("vm-timer", body));
	}

	/**
	 * Creates the connections of a VM; none is opened before {@link #start()}.
	 * @param identity name, address and fleet key of this VM
	 * @param codec codec with all message types, see {@link VmMessages}
	 * @param handlers handlers of incoming messages
	 * @return the connections
	 */
	public static VmPeers create(VmIdentity identity, MessageCodec codec, MessageHandlers handlers) {
		return new VmPeers(identity, codec, handlers);
	}

	/**
	 * Sets the source of heartbeats. It is called once per round, and the function that
	 * it returns once for each connected VM. Neither may block.
	 * @param source the source
	 */
	public void setHeartbeats(Supplier<Function<VmId, Heartbeat>> source) {
		this.heartbeats = source;
	}

	/**
	 * Sets the interval between rounds of heartbeats, 1 s by default.
	 * @param periodNanos source of the interval, at least 250 ms
	 */
	public void setHeartbeatPeriod(LongSupplier periodNanos) {
		this.heartbeatPeriodNanos = periodNanos;
	}

	/**
	 * Binds the address of this VM and begins to send heartbeats.
	 * @throws IOException if the address cannot be bound
	 */
	public synchronized void start() throws IOException {
		this.server = VmServer.bind(this.identity, this.codec, this.handlers, this.counters, this.workers,
				MAX_CONNECTIONS);
		var unused = this.timer.scheduleAtFixedRate(this::tick, 0, TICK_MILLIS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Sets the addresses to connect to. VMs that have connected to this one are added
	 * while their connection is open, since a VM that starts during a store outage has no
	 * row of a VM slot.
	 * @param addresses addresses of other VMs; that of this VM is ignored
	 */
	public void setAddresses(Collection<String> addresses) {
		this.configuredAddresses = Set.copyOf(addresses);
		connect();
	}

	private synchronized void connect() {
		VmServer current = this.server;
		if (current == null) {
			return;
		}
		Set<String> wanted = new HashSet<>(this.configuredAddresses);
		current.peers().forEach((peer) -> wanted.add(peer.address()));
		wanted.remove(this.identity.address());
		this.peers.entrySet().removeIf((entry) -> {
			boolean unwanted = !wanted.contains(entry.getKey());
			if (unwanted) {
				entry.getValue().close();
			}
			return unwanted;
		});
		for (String address : wanted) {
			this.peers.computeIfAbsent(address, this::open);
		}
	}

	private VmPeer open(String address) {
		VmPeer peer = new VmPeer(address, this.identity, this.codec, this.counters);
		peer.start();
		return peer;
	}

	private void tick() {
		try {
			connect();
			long now = System.nanoTime();
			this.peers.values().forEach((peer) -> peer.closeBlocked(now, WRITE_BLOCKED_NANOS));
			closeBlocked(now);
			sendHeartbeats(now);
		}
		catch (RuntimeException ex) {
			// An exception would end the schedule, and with it all heartbeats.
			logger.error("heartbeat round failed", ex);
		}
	}

	private void sendHeartbeats(long now) {
		// Half a tick of tolerance, so that timer jitter does not delay a round.
		if (now - this.lastHeartbeatRound < this.heartbeatPeriodNanos.getAsLong() - TICK_NANOS / 2) {
			return;
		}
		this.lastHeartbeatRound = now;
		Function<VmId, Heartbeat> round = this.heartbeats.get();
		for (VmPeer peer : this.peers.values()) {
			VmId vm = peer.connectedVm();
			if (vm != null) {
				peer.send(round.apply(vm));
			}
		}
	}

	private synchronized void closeBlocked(long now) {
		if (this.server != null) {
			this.server.closeBlocked(now, WRITE_BLOCKED_NANOS);
		}
	}

	/**
	 * Sends a request and waits for the reply. Must not be called with a lock held.
	 * @param vm the receiver
	 * @param message the request
	 * @param replyType type of the reply
	 * @param timeout longest wait
	 * @param <R> type of the reply
	 * @return the reply
	 * @throws VmUnreachableException if the request was not sent
	 * @throws VmReplyTimeoutException if it may have been handled
	 * @throws VmRequestFailedException if the receiver could not handle it
	 */
	public <R extends Record> R request(VmId vm, Record message, Class<R> replyType, Duration timeout)
			throws VmRequestException {
		VmPeer peer = findConnected(vm);
		if (peer == null) {
			throw new VmUnreachableException("no connection to VM " + vm);
		}
		Object reply = peer.request(message, timeout);
		if (replyType.isInstance(reply)) {
			return replyType.cast(reply);
		}
		String reason = (reply instanceof Failure failure) ? failure.reason() : reply.getClass().getSimpleName();
		throw new VmRequestFailedException("VM " + vm + " replied: " + reason);
	}

	/**
	 * Sends a message without reply.
	 * @param vm the receiver
	 * @param message the message
	 * @return whether it was queued; it can still be lost
	 */
	public boolean send(VmId vm, Record message) {
		VmPeer peer = findConnected(vm);
		return peer != null && peer.send(message);
	}

	/**
	 * Sends a message without reply to all connected VMs.
	 * @param message the message
	 */
	public void sendToAll(Record message) {
		this.peers.values().forEach((peer) -> peer.send(message));
	}

	/**
	 * Returns the connected VMs.
	 * @return the VMs
	 */
	public Set<VmId> connected() {
		Set<VmId> vms = new HashSet<>();
		for (VmPeer peer : this.peers.values()) {
			VmId vm = peer.connectedVm();
			if (vm != null) {
				vms.add(vm);
			}
		}
		return vms;
	}

	/**
	 * Returns the counts of events on the connections.
	 * @return the counters
	 */
	public VmCounters counters() {
		return this.counters;
	}

	private @Nullable VmPeer findConnected(VmId vm) {
		for (VmPeer peer : this.peers.values()) {
			if (vm.equals(peer.connectedVm())) {
				return peer;
			}
		}
		return null;
	}

	/**
	 * Closes all connections.
	 */
	@Override
	public synchronized void close() {
		this.timer.shutdownNow();
		this.peers.values().forEach(VmPeer::close);
		this.peers.clear();
		if (this.server != null) {
			this.server.close();
		}
		this.workers.shutdownNow();
	}

}
