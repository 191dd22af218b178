package org.banyanstile.server.vm;

import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.banyanstile.core.common.VmId;
import org.banyanstile.io.frame.FrameConnection;
import org.banyanstile.io.frame.MalformedFrameException;
import org.banyanstile.io.frame.Message;
import org.banyanstile.io.frame.MessageCodec;
import org.jspecify.annotations.Nullable;

/**
 * Connection to one other VM. One thread connects and writes from a bounded queue,
 * another reads the replies.
 *
 * @author banyanstile contributors
 */
final class VmPeer implements AutoCloseable {

	private static final Logger logger = LogManager.getLogger(VmPeer.class);

	private static final int CONNECT_MILLIS = 1000;

	private static final int HANDSHAKE_MILLIS = 2000;

	private static final long MIN_BACKOFF_MILLIS = 100;

	private static final long MAX_BACKOFF_MILLIS = 2000;

	private static final int QUEUE_CAPACITY = 256;

	private final String address;

	private final FleetKeyHandshake handshake;

	private final MessageCodec codec;

	private final VmCounters counters;

	private final BlockingQueue<byte[]> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);

	private final Map<Long, CompletableFuture<Object>> pending = new ConcurrentHashMap<>();

	private final AtomicLong correlation = new AtomicLong();

	private final Thread writer;

	private volatile @Nullable FrameConnection connection;

	private volatile @Nullable VmId vm;

	private volatile boolean closed;

	VmPeer(String address, VmIdentity identity, MessageCodec codec, VmCounters counters) {
		this.address = address;
		this.handshake = new FleetKeyHandshake(identity, codec);
		this.codec = codec;
		this.counters = counters;
		this.writer = VmThreads.create("vm-out", this::run);
	}

	void start() {
		this.writer.start();
	}

	/**
	 * Returns the name of the VM while a connection is open.
	 * @return the name, or {@code null}
	 */
	@Nullable
	VmId connectedVm() {
		return (this.connection != null) ? this.vm : null;
	}

	boolean send(Record message) {
		return (this.connection != null) && enqueue(new Message(Message.ONE_WAY, message));
	}

	Object request(Record message, Duration timeout) throws VmRequestException {
		if (this.connection == null) {
			throw new VmUnreachableException("no connection to VM at " + this.address);
		}
		long id = this.correlation.incrementAndGet();
		CompletableFuture<Object> reply = new CompletableFuture<>();
		this.pending.put(id, reply);
		try {
			if (!enqueue(new Message(id, message))) {
				throw new VmUnreachableException("send queue to VM at " + this.address + " is full");
			}
			return reply.get(timeout.toNanos(), TimeUnit.NANOSECONDS);
		}
		catch (TimeoutException | ExecutionException ex) {
			throw new VmReplyTimeoutException(
					"no reply from VM at " + this.address + " before the timeout or the end of the connection");
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new VmReplyTimeoutException("interrupted while waiting for the reply from VM at " + this.address);
		}
		finally {
			this.pending.remove(id);
		}
	}

	private boolean enqueue(Message message) {
		try {
			boolean queued = this.queue.offer(this.codec.encode(message));
			if (!queued) {
				this.counters.droppedMessages().increment();
			}
			return queued;
		}
		catch (IOException ex) {
			throw new IllegalArgumentException("message cannot be encoded", ex);
		}
	}

	private void run() {
		long backoff = MIN_BACKOFF_MILLIS;
		while (!this.closed) {
			long connectedAt = System.nanoTime();
			boolean wasConnected = runConnection();
			failPending();
			if (wasConnected && System.nanoTime() - connectedAt > TimeUnit.SECONDS.toNanos(1)) {
				backoff = MIN_BACKOFF_MILLIS;
			}
			if (!this.closed) {
				sleep(backoff);
			}
			backoff = Math.min(MAX_BACKOFF_MILLIS, 2 * backoff);
		}
	}

	/**
	 * Connects and writes until the connection breaks.
	 * @return whether the peer was authenticated
	 */
	private boolean runConnection() {
		boolean authenticated = false;
		try (Socket socket = new Socket()) {
			socket.connect(Addresses.parse(this.address), CONNECT_MILLIS);
			FrameConnection opened = FrameConnection.over(socket);
			opened.setReadTimeout(HANDSHAKE_MILLIS);
			Hello peer = this.handshake.connect(opened);
			opened.setReadTimeout(0);
			authenticated = true;
			this.vm = VmId.of(peer.vm());
			this.connection = opened;
			logger.info("connected to VM {} at {}", peer.vm(), this.address);
			VmThreads.start("vm-reply", () -> read(opened));
			write(opened);
		}
		catch (IOException ex) {
			countFailure(ex, authenticated);
		}
		catch (IllegalArgumentException ex) {
			// An address that cannot be parsed is retried like one that refuses
			// connections.
			this.counters.failedHandshakes().increment();
		}
		catch (InterruptedException ex) {
			this.closed = true;
		}
		if (authenticated) {
			logger.info("connection to VM {} at {} ended", this.vm, this.address);
		}
		return authenticated;
	}

	private void write(FrameConnection opened) throws IOException, InterruptedException {
		while (!this.closed && this.connection == opened) {
			byte[] frame = this.queue.poll(1, TimeUnit.SECONDS);
			if (frame != null) {
				opened.send(frame);
				this.counters.bytesSent().add(frame.length + Integer.BYTES);
			}
		}
	}

	private void read(FrameConnection opened) {
		try (opened) {
			byte[] frame = opened.receive();
			while (frame != null) {
				Message message = this.codec.decode(frame);
				CompletableFuture<Object> reply = this.pending.remove(message.correlationId());
				if (reply != null) {
					reply.complete(message.payload());
				}
				frame = opened.receive();
			}
		}
		catch (IOException ex) {
			countFailure(ex, true);
		}
		disconnected(opened);
	}

	private synchronized void disconnected(FrameConnection opened) {
		if (this.connection == opened) {
			this.connection = null;
		}
	}

	private void failPending() {
		this.connection = null;
		this.queue.clear();
		this.pending.values()
			.forEach((reply) -> reply.completeExceptionally(new IOException("the connection ended before the reply")));
	}

	private void countFailure(IOException ex, boolean authenticated) {
		if (ex instanceof MalformedFrameException) {
			this.counters.malformedFrames().increment();
		}
		else if (ex instanceof HandshakeException) {
			this.counters.failedHandshakes().increment();
		}
		else if (authenticated && !this.closed) {
			this.counters.brokenConnections().increment();
		}
	}

	private void sleep(long backoff) {
		try {
			Thread.sleep(backoff / 2 + ThreadLocalRandom.current().nextLong(backoff));
		}
		catch (InterruptedException ex) {
			this.closed = true;
		}
	}

	void closeBlocked(long now, long nanos) {
		FrameConnection current = this.connection;
		if (current != null && current.isWriteBlocked(now, nanos)) {
			current.close();
		}
	}

	@Override
	public void close() {
		this.closed = true;
		FrameConnection current = this.connection;
		if (current != null) {
			current.close();
		}
		this.writer.interrupt();
	}

}
