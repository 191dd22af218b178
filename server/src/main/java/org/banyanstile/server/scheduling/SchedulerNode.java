package org.banyanstile.server.scheduling;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongFunction;

import io.micrometer.core.instrument.MeterRegistry;
import org.banyanstile.core.common.Ticker;
import org.banyanstile.core.scheduling.GenerationRequest;
import org.banyanstile.core.scheduling.GenerationScheduler;
import org.banyanstile.core.scheduling.Holding;
import org.banyanstile.io.frame.Message;
import org.banyanstile.io.frame.MessageCodec;
import org.banyanstile.server.gossip.GossipMember;
import org.banyanstile.server.gossip.Membership;
import org.banyanstile.server.router.DecisionLog;
import org.banyanstile.server.vm.Addresses;
import org.jspecify.annotations.Nullable;

/**
 * Exchanges datagrams about the placement of generations with other VMs, which use the
 * same port. Every message is idempotent, so lost, duplicate and reordered datagrams do
 * no harm.
 *
 * @author banyanstile contributors
 */
public final class SchedulerNode implements AutoCloseable {

	private static final long TICK_MILLIS = 250;

	private static final long DECISION_MILLIS = 20;

	private static final int MAX_DATAGRAM_BYTES = 60_000;

	private static final long MALFORMED_LOG_NANOS = 60_000_000_000L;

	private final DatagramChannel channel;

	private final int port;

	private final Membership membership;

	private final SchedulerMetrics metrics;

	private final DecisionLog log;

	private final Ticker ticker;

	private final MessageCodec codec = codec();

	private final SchedulerHost host;

	private final SchedulerClient client;

	private final ScheduledExecutorService timer;

	private final AtomicBoolean decisionPending = new AtomicBoolean();

	private final AtomicLong malformedLoggedAt;

	private volatile boolean closed;

	private SchedulerNode(DatagramChannel channel, int port, Membership membership, EngineSource source,
			LongFunction<GenerationScheduler> factory, Ticker ticker, MeterRegistry registry, DecisionLog log) {
		this.channel = channel;
		this.port = port;
		this.membership = membership;
		this.metrics = new SchedulerMetrics(registry);
		this.log = log;
		this.ticker = ticker;
		this.malformedLoggedAt = new AtomicLong(ticker.nanos() - MALFORMED_LOG_NANOS);
		this.host = new SchedulerHost(membership.self().vm(), source, factory, ticker, this.metrics, log);
		this.client = new SchedulerClient(membership, source, this::send, ticker, this.metrics, log);
		this.timer = Executors.newSingleThreadScheduledExecutor((body) -> {
			Thread thread = new Thread(body, "scheduler-timer");
			thread.setDaemon(true);
			return thread;
		});
	}

	/**
	 * Opens the socket.
	 * @param address address to bind
	 * @param membership the VMs of the fleet
	 * @param source the engines
	 * @param factory creates the scheduler of a group of engines at a time in nanoseconds
	 * @param ticker time source
	 * @param registry registry of the counters
	 * @param log log of changes
	 * @return the node
	 * @throws IOException if the address cannot be bound
	 */
	public static SchedulerNode start(InetSocketAddress address, Membership membership, EngineSource source,
			LongFunction<GenerationScheduler> factory, Ticker ticker, MeterRegistry registry, DecisionLog log)
			throws IOException {
		DatagramChannel channel = DatagramChannel.open();
		try {
			channel.bind(address);
		}
		catch (IOException ex) {
			channel.close();
			throw ex;
		}
		SchedulerNode node = new SchedulerNode(channel, address.getPort(), membership, source, factory, ticker,
				registry, log);
		Thread receiver = new Thread(node::receive, "scheduler-receiver");
		receiver.setDaemon(true);
		receiver.start();
		var unused = node.timer.scheduleAtFixedRate(node::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
		return node;
	}

	private static MessageCodec codec() {
		return MessageCodec.create()
			.registerNested(EngineGroup.class)
			.registerNested(GenerationRequest.class)
			.registerNested(Holding.class)
			.register(PlaceRequest.class)
			.register(PlacedReply.class)
			.register(QueuedReply.class)
			.register(RefusedReply.class)
			.register(ProgressReport.class)
			.register(HoldingsReport.class)
			.register(SchedulerStatus.class);
	}

	/**
	 * Returns the client of this VM.
	 * @return the client
	 */
	public SchedulerClient client() {
		return this.client;
	}

	private void send(GossipMember scheduler, Record message) {
		if (scheduler.vm().equals(this.membership.self().vm())) {
			handle(message, null);
			return;
		}
		try {
			String peerHost = Addresses.parse(scheduler.peerAddress()).getHostString();
			transmit(message, new InetSocketAddress(peerHost, this.port));
		}
		catch (IllegalArgumentException ex) {
			this.log.problem("a VM has no usable address: " + scheduler.peerAddress(), ex);
		}
	}

	private void transmit(Object message, SocketAddress target) {
		try {
			byte[] datagram = this.codec.encode(new Message(Message.ONE_WAY, message));
			if (datagram.length > MAX_DATAGRAM_BYTES) {
				throw new IOException(datagram.length + " bytes are too many for a datagram");
			}
			this.channel.send(ByteBuffer.wrap(datagram), target);
			this.metrics.sent(datagram.length);
		}
		catch (IOException ex) {
			if (!this.closed) {
				this.log.problem("cannot send a scheduling datagram to " + target, ex);
			}
		}
	}

	private void receive() {
		ByteBuffer buffer = ByteBuffer.allocate(65_536);
		while (!this.closed) {
			try {
				buffer.clear();
				SocketAddress sender = this.channel.receive(buffer);
				if (sender == null) {
					continue;
				}
				byte[] bytes = new byte[buffer.flip().remaining()];
				buffer.get(bytes);
				this.metrics.received(bytes.length);
				handle((Record) this.codec.decode(bytes).payload(), sender);
			}
			catch (IOException | RuntimeException | Error ex) {
				if (!this.closed) {
					malformed(ex);
				}
			}
		}
	}

	private void malformed(Throwable cause) {
		this.metrics.malformed();
		long now = this.ticker.nanos();
		long loggedAt = this.malformedLoggedAt.get();
		if (now - loggedAt >= MALFORMED_LOG_NANOS && this.malformedLoggedAt.compareAndSet(loggedAt, now)) {
			this.log.problem("ignored scheduling datagrams that could not be received or handled", cause);
		}
	}

	private void handle(Record message, @Nullable SocketAddress sender) {
		if (message instanceof PlaceRequest place) {
			dispatch(this.host.place(place, sender));
		}
		else if (message instanceof ProgressReport progress) {
			dispatch(this.host.progress(progress));
		}
		else if (message instanceof HoldingsReport holdings) {
			handle(holdings, sender);
		}
		else if (message instanceof SchedulerReply reply) {
			this.client.receive(reply);
		}
		else if (message instanceof SchedulerStatus status) {
			this.client.receive(status);
		}
	}

	private void handle(HoldingsReport holdings, @Nullable SocketAddress sender) {
		SchedulerStatus status = this.host.holdings(holdings, sender);
		if (status != null && sender != null) {
			transmit(status, sender);
		}
		else if (status != null) {
			this.client.receive(status);
		}
	}

	private void dispatch(List<HostedGroup.Outgoing> outgoing) {
		for (HostedGroup.Outgoing reply : outgoing) {
			SocketAddress receiver = reply.receiver();
			if (receiver != null) {
				transmit(reply.message(), receiver);
			}
			else {
				this.client.receive(reply.message());
			}
		}
		if (this.host.waiting() > 0 && this.decisionPending.compareAndSet(false, true)) {
			try {
				var unused = this.timer.schedule(this::decide, DECISION_MILLIS, TimeUnit.MILLISECONDS);
			}
			catch (RejectedExecutionException ex) {
				this.log.lifecycle("scheduling stopped", "waiting", this.host.waiting(), "cause", ex.toString());
			}
		}
	}

	private void decide() {
		this.decisionPending.set(false);
		try {
			dispatch(this.host.decide());
		}
		catch (RuntimeException | Error ex) {
			this.log.problem("scheduling failed", ex);
		}
	}

	private void tick() {
		try {
			this.client.tick();
			dispatch(this.host.decide());
		}
		catch (RuntimeException | Error ex) {
			this.log.problem("repeating holdings failed", ex);
		}
	}

	/**
	 * Closes the socket. Requests that wait are placed by their own VMs.
	 */
	@Override
	public void close() {
		this.closed = true;
		this.timer.shutdownNow();
		try {
			this.channel.close();
		}
		catch (IOException ex) {
			this.log.problem("failed to close the scheduling socket", ex);
		}
	}

}
