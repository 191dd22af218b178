package org.banyanstile.server.vm;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.Semaphore;

import org.banyanstile.core.common.VmId;
import org.banyanstile.io.frame.FrameConnection;
import org.banyanstile.io.frame.MalformedFrameException;
import org.banyanstile.io.frame.Message;
import org.banyanstile.io.frame.MessageCodec;

/**
 * Accepts connections of other VMs and passes their messages to the handlers. One thread
 * reads each connection; the number of connections is bounded.
 *
 * @author banyanstile contributors
 */
final class VmServer implements AutoCloseable {

	private static final int HANDSHAKE_MILLIS = 2000;

	/**
	 * Heartbeats arrive every second, so a connection without data for this long is
	 * broken.
	 */
	private static final int READ_TIMEOUT_MILLIS = 10_000;

	private static final int BACKLOG = 128;

	/**
	 * An interrupted accept returns within milliseconds; the rest is a margin for a
	 * machine under load.
	 */
	private static final long ACCEPTOR_JOIN_MILLIS = 5000;

	private final ServerSocket socket;

	private final FleetKeyHandshake handshake;

	private final MessageCodec codec;

	private final MessageHandlers handlers;

	private final VmCounters counters;

	private final ExecutorService workers;

	private final Semaphore permits;

	private final Thread acceptor;

	private final Set<FrameConnection> open = ConcurrentHashMap.newKeySet();

	private final Map<FrameConnection, Hello> authenticated = new ConcurrentHashMap<>();

	private VmServer(ServerSocket socket, VmIdentity identity, MessageCodec codec, MessageHandlers handlers,
			VmCounters counters, ExecutorService workers, int maxConnections) {
		this.socket = socket;
		this.handshake = new FleetKeyHandshake(identity, codec);
		this.codec = codec;
		this.handlers = handlers;
		this.counters = counters;
		this.workers = workers;
		this.permits = new Semaphore(maxConnections);
		this.acceptor = VmThreads.create("vm-accept", this::accept);
	}

	static VmServer bind(VmIdentity identity, MessageCodec codec, MessageHandlers handlers, VmCounters counters,
			ExecutorService workers, int maxConnections) throws IOException {
		InetSocketAddress address = Addresses.parse(identity.address());
		ServerSocket socket = new ServerSocket();
		try {
			socket.setReuseAddress(true);
			socket.bind(address, BACKLOG);
		}
		catch (IOException ex) {
			socket.close();
			throw ex;
		}
		VmServer server = new VmServer(socket, identity, codec, handlers, counters, workers, maxConnections);
		server.acceptor.start();
		return server;
	}

	/**
	 * Returns the peers with an authenticated connection.
	 * @return their names and addresses
	 */
	Set<Hello> peers() {
		return Set.copyOf(this.authenticated.values());
	}

	private void accept() {
		while (!this.socket.isClosed()) {
			try {
				Socket accepted = this.socket.accept();
				if (!this.permits.tryAcquire()) {
					this.counters.refusedConnections().increment();
					accepted.close();
					continue;
				}
				FrameConnection connection = FrameConnection.over(accepted);
				this.open.add(connection);
				VmThreads.start("vm-in", () -> serve(connection));
			}
			catch (IOException ex) {
				// The socket was closed, or the peer closed the connection before it was
				// accepted.
			}
		}
	}

	private void serve(FrameConnection connection) {
		try (connection) {
			connection.setReadTimeout(HANDSHAKE_MILLIS);
			Hello peer = this.handshake.accept(connection);
			connection.setReadTimeout(READ_TIMEOUT_MILLIS);
			this.authenticated.put(connection, peer);
			read(connection, VmId.of(peer.vm()));
		}
		catch (MalformedFrameException ex) {
			this.counters.malformedFrames().increment();
		}
		catch (HandshakeException ex) {
			this.counters.failedHandshakes().increment();
		}
		catch (IOException ex) {
			this.counters.brokenConnections().increment();
		}
		finally {
			this.authenticated.remove(connection);
			this.open.remove(connection);
			this.permits.release();
		}
	}

	private void read(FrameConnection connection, VmId from) throws IOException {
		byte[] frame = connection.receive();
		while (frame != null) {
			Message message = this.codec.decode(frame);
			if (this.handlers.isInline(message.payload())) {
				handle(connection, from, message);
			}
			else {
				dispatch(connection, from, message);
			}
			frame = connection.receive();
		}
	}

	private void dispatch(FrameConnection connection, VmId from, Message message) {
		try {
			this.workers.execute(() -> handle(connection, from, message));
		}
		catch (RejectedExecutionException ex) {
			this.counters.droppedMessages().increment();
			reply(connection, message, new Failure("too many messages"));
		}
	}

	private void handle(FrameConnection connection, VmId from, Message message) {
		Record reply = this.handlers.handle(from, message.payload());
		reply(connection, message, (reply != null) ? reply : new Acknowledged());
	}

	private void reply(FrameConnection connection, Message message, Record reply) {
		if (message.correlationId() == Message.ONE_WAY) {
			return;
		}
		try {
			byte[] frame = this.codec.encode(new Message(message.correlationId(), reply));
			this.counters.bytesSent().add(frame.length + Integer.BYTES);
			connection.send(frame);
		}
		catch (IOException ex) {
			connection.close();
		}
	}

	void closeBlocked(long now, long nanos) {
		this.open.stream()
			.filter((connection) -> connection.isWriteBlocked(now, nanos))
			.forEach(FrameConnection::close);
	}

	@Override
	public void close() {
		try {
			this.socket.close();
		}
		catch (IOException ex) {
			// The socket is unusable either way.
		}
		this.open.forEach(FrameConnection::close);
		awaitAcceptor();
	}

	// The kernel keeps the address bound until the blocked accept has returned.
	private void awaitAcceptor() {
		try {
			this.acceptor.join(ACCEPTOR_JOIN_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
