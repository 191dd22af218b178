package org.banyanstile.server.router;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.Connectors;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import org.banyanstile.core.limit.BodyBudget;
import org.banyanstile.io.http.BodyChunks;
import org.jspecify.annotations.Nullable;
import org.xnio.ChannelListener;
import org.xnio.XnioExecutor;
import org.xnio.channels.StreamSourceChannel;

/**
 * Reads the bodies of requests into the memory that the budget grants. The memory for a
 * body of known length is taken before any of it is read; while it does not fit, the body
 * waits in order of arrival and its connection is not read. Safe for use by several I/O
 * threads.
 *
 * @author banyanstile contributors
 */
final class RequestBodies {

	private static final byte[] NO_BYTES = {};

	/**
	 * Bytes that are read from one connection in a row, so that large bodies leave the
	 * I/O thread to other callers between their parts.
	 */
	private static final int MAX_READ_BYTES = 256 * 1024;

	/**
	 * Largest array of the Java virtual machine.
	 */
	private static final int MAX_ARRAY_BYTES = Integer.MAX_VALUE - 8;

	private final BodyBudget budget;

	private final Deque<Upload> waiting = new ArrayDeque<>();

	private final Set<Upload> uploads = ConcurrentHashMap.newKeySet();

	RequestBodies(BodyBudget budget) {
		this.budget = budget;
	}

	/**
	 * Reads the body of a request. Called by a handler on the I/O thread.
	 * @param exchange the exchange
	 * @param maxBytes largest permitted size in bytes
	 * @param receiver called by a handler on the I/O thread, once
	 * @throws Exception if the receiver fails
	 */
	void receive(HttpServerExchange exchange, long maxBytes, Receiver receiver) throws Exception {
		long length = exchange.getRequestContentLength();
		BodyBudget.Lease lease = this.budget.request();
		if (exchange.isRequestComplete() || length == 0) {
			receiver.received(exchange, NO_BYTES, lease, 0);
			return;
		}
		exchange.setMaxEntitySize(maxBytes);
		if (length > Math.min(Math.min(maxBytes, MAX_ARRAY_BYTES), this.budget.largestRequest())) {
			receiver.failed(exchange, new RequestTooBigException());
			return;
		}
		Upload upload = new Upload(exchange, length, lease, receiver);
		boolean admitted = length < 0 || tryAdmit(upload);
		if (admitted) {
			upload.handleRequest(exchange);
		}
		else {
			exchange.dispatch((Executor) upload, (HttpHandler) upload);
		}
		if (!upload.done) {
			this.uploads.add(upload);
			upload.endAfter(receiver.maxMillis(exchange, !admitted));
		}
	}

	/**
	 * Refuses all requests whose bodies are incomplete or wait for memory.
	 * @param reason why
	 */
	void refuseAll(String reason) {
		this.uploads.forEach((upload) -> upload.exchange.getIoThread().execute(() -> upload.refuse(reason, reason)));
	}

	/**
	 * Returns the number of requests whose bodies wait for memory.
	 * @return the number
	 */
	synchronized int waiting() {
		return this.waiting.size();
	}

	/**
	 * Returns the memory of a body and admits waiting ones.
	 * @param lease lease of the body
	 */
	synchronized void release(BodyBudget.Lease lease) {
		lease.close();
		Upload next = this.waiting.peek();
		while (next != null && next.tryAcquire()) {
			this.waiting.remove();
			next.resume();
			next = this.waiting.peek();
		}
	}

	// Large bodies do not overtake those that wait already.
	private synchronized boolean tryAdmit(Upload upload) {
		return (this.waiting.isEmpty() || BodyBudget.isSmall(upload.length)) && upload.tryAcquire();
	}

	private synchronized void await(Upload upload) {
		if (tryAdmit(upload)) {
			upload.resume();
		}
		else {
			this.waiting.add(upload);
		}
	}

	private synchronized boolean stopWaiting(Upload upload) {
		return this.waiting.remove(upload);
	}

	/**
	 * Takes over a request after its body was read.
	 *
	 * @author banyanstile contributors
	 */
	interface Receiver {

		/**
		 * Returns the time limit of a body that is not there yet.
		 * @param exchange the exchange
		 * @param waits whether the body waits for memory
		 * @return the limit in milliseconds
		 */
		long maxMillis(HttpServerExchange exchange, boolean waits);

		/**
		 * The body is complete.
		 * @param exchange the exchange
		 * @param body the body
		 * @param lease memory of the body, to be released when the request ends
		 * @param waitedNanos time that the body waited for memory
		 */
		void received(HttpServerExchange exchange, byte[] body, BodyBudget.Lease lease, long waitedNanos);

		/**
		 * The body was not read completely.
		 * @param exchange the exchange
		 * @param cause why
		 */
		void failed(HttpServerExchange exchange, IOException cause);

		/**
		 * There is no memory for the body, or it did not arrive in time.
		 * @param exchange the exchange
		 * @param reason which of them
		 */
		void refused(HttpServerExchange exchange, String reason);

	}

	/**
	 * A body that is being read, or waits for memory. Used by the I/O thread of its
	 * connection. As an executor it holds back the task that starts to read.
	 *
	 * @author banyanstile contributors
	 */
	private final class Upload implements HttpHandler, Executor, ChannelListener<StreamSourceChannel> {

		private final HttpServerExchange exchange;

		private final long length;

		private final BodyBudget.Lease lease;

		private final Receiver receiver;

		private final BodyChunks chunks = BodyChunks.create();

		private byte @Nullable [] body;

		private final long createdNanos = System.nanoTime();

		private int received;

		private long waitedNanos;

		private @Nullable Runnable start;

		private @Nullable StreamSourceChannel channel;

		private XnioExecutor.@Nullable Key timer;

		private @Nullable String refusalWhileWaiting;

		private boolean done;

		private Upload(HttpServerExchange exchange, long length, BodyBudget.Lease lease, Receiver receiver) {
			this.exchange = exchange;
			this.length = length;
			this.lease = lease;
			this.receiver = receiver;
		}

		private boolean tryAcquire() {
			return this.lease.tryAcquire(this.length);
		}

		private void endAfter(long millis) {
			this.timer = this.exchange.getIoThread()
				.executeAfter(this::timeOut, Math.max(1, millis), TimeUnit.MILLISECONDS);
		}

		@Override
		public void execute(Runnable task) {
			this.start = task;
			await(this);
		}

		private void resume() {
			Runnable task = this.start;
			if (task != null) {
				this.exchange.getIoThread().execute(task);
			}
		}

		private void timeOut() {
			refuse("the request body did not arrive in time", "no memory for the request body");
		}

		private void refuse(String reasonWhileReading, String reasonWhileWaiting) {
			if (this.done) {
				return;
			}
			this.refusalWhileWaiting = reasonWhileWaiting;
			StreamSourceChannel reading = this.channel;
			if (reading != null) {
				reading.suspendReads();
				Connectors.executeRootHandler(refused(reasonWhileReading), this.exchange);
			}
			else if (stopWaiting(this)) {
				resume();
			}
		}

		@Override
		public void handleRequest(HttpServerExchange started) throws Exception {
			if (this.start != null) {
				this.waitedNanos = System.nanoTime() - this.createdNanos;
			}
			String refusal = this.refusalWhileWaiting;
			if (refusal != null) {
				refused(refusal).handleRequest(started);
				return;
			}
			StreamSourceChannel opened = started.getRequestChannel();
			if (opened == null) {
				failed(new IOException("the request body cannot be read")).handleRequest(started);
				return;
			}
			this.channel = opened;
			opened.getReadSetter().set(this);
			HttpHandler end = read(opened);
			if (end != null) {
				end.handleRequest(started);
			}
			else {
				opened.resumeReads();
			}
		}

		@Override
		public void handleEvent(StreamSourceChannel source) {
			if (this.done) {
				return;
			}
			HttpHandler end = read(source);
			if (end != null) {
				source.suspendReads();
				Connectors.executeRootHandler(end, this.exchange);
			}
		}

		// Reads what has arrived.
		// @return what to do with the request, or null if more is to come
		private @Nullable HttpHandler read(StreamSourceChannel source) {
			try (PooledByteBuffer pooled = this.exchange.getConnection().getByteBufferPool().allocate()) {
				ByteBuffer buffer = pooled.getBuffer();
				for (int total = 0; total < MAX_READ_BYTES;) {
					buffer.clear();
					int n = source.read(buffer);
					total += n;
					if (n <= 0) {
						return (n < 0) ? ended() : null;
					}
					if (!append(buffer.flip())) {
						return refused("no memory for the request body");
					}
				}
				// There may be no further event, as at the end of the body.
				source.wakeupReads();
				return null;
			}
			catch (IOException ex) {
				return failed(ex);
			}
			catch (RuntimeException | OutOfMemoryError ex) {
				return failed(new IOException("the request body cannot be read", ex));
			}
		}

		private boolean append(ByteBuffer bytes) {
			if (this.length < 0) {
				return this.chunks.append(bytes, -1, this.lease::tryAcquire);
			}
			byte[] whole = (this.body != null) ? this.body : new byte[(int) this.length];
			this.body = whole;
			int n = bytes.remaining();
			bytes.get(whole, this.received, n);
			this.received += n;
			return true;
		}

		private HttpHandler ended() {
			byte[] whole = this.body;
			if (whole != null && this.received == this.length) {
				return received(whole);
			}
			if (this.length >= 0) {
				return failed(new IOException("the request body ended early"));
			}
			if (!this.lease.tryAcquire(this.chunks.size())) {
				return refused("no memory for the request body");
			}
			byte[] copy = this.chunks.toByteArray();
			this.lease.tryResize(copy.length);
			return received(copy);
		}

		private HttpHandler received(byte[] whole) {
			end();
			return (ended) -> this.receiver.received(ended, whole, this.lease, this.waitedNanos);
		}

		private HttpHandler failed(IOException cause) {
			end();
			release(this.lease);
			return (ended) -> this.receiver.failed(ended, cause);
		}

		private HttpHandler refused(String reason) {
			end();
			release(this.lease);
			return (ended) -> this.receiver.refused(ended, reason);
		}

		private void end() {
			this.done = true;
			RequestBodies.this.uploads.remove(this);
			XnioExecutor.Key limit = this.timer;
			if (limit != null) {
				limit.remove();
			}
		}

	}

}
