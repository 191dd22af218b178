package org.banyanstile.io.http;

import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import org.jspecify.annotations.Nullable;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * Blocking HTTP client with a connection pool. Safe for use by several threads; must not
 * be called from an I/O thread.
 *
 * @author banyanstile contributors
 */
public final class HttpClient implements AutoCloseable {

	private static final int BUFFER_BYTES = 16 * 1024;

	private static final int MAX_IDLE_PER_PEER = 8;

	private static final int MAX_CHARACTER = 0xff;

	private static final int MAX_PORT = 65_535;

	private final XnioWorker worker;

	private final ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES);

	private final Map<String, Deque<IdleConnection>> idle = new ConcurrentHashMap<>();

	private HttpClient(XnioWorker worker) {
		this.worker = worker;
	}

	/**
	 * Creates a client with its own I/O threads.
	 * @param ioThreads number of I/O threads
	 * @return the client
	 */
	public static HttpClient create(int ioThreads) {
		OptionMap options = OptionMap.builder()
			.set(Options.WORKER_IO_THREADS, ioThreads)
			.set(Options.WORKER_NAME, "http-client")
			.set(Options.THREAD_DAEMON, true)
			.set(Options.TCP_NODELAY, true)
			.getMap();
		try {
			return new HttpClient(Xnio.getInstance().createWorker(options));
		}
		catch (IOException ex) {
			throw new IllegalStateException("cannot create the I/O threads", ex);
		}
	}

	/**
	 * Sends a request and waits for the head of the response.
	 * @param request the request
	 * @return the response, which the caller must close
	 * @throws ConnectFailedException if no connection was established, for example since
	 * the address is not usable, so nothing was sent
	 * @throws HttpException if no response head arrived
	 */
	public HttpResponse send(HttpRequest request) throws HttpException {
		return send(request, new CallHandle());
	}

	/**
	 * Sends a request that another thread can cancel, and waits for the head of the
	 * response.
	 * @param request the request
	 * @param handle handle that can cancel the call; it can be used for a later call
	 * @return the response, which the caller must close
	 * @throws ConnectFailedException if no connection was established, so nothing was
	 * sent
	 * @throws HttpException if no response head arrived
	 */
	public HttpResponse send(HttpRequest request, CallHandle handle) throws HttpException {
		requireSendable(request);
		HttpConnection connection = connection(request);
		boolean done = false;
		try {
			if (!handle.begin(connection)) {
				throw new ConnectFailedException("the call to " + request.address() + " was cancelled", null);
			}
			HttpResponse response = exchange(request, connection, handle);
			done = true;
			return response;
		}
		catch (IOException ex) {
			throw FramingException.toHttpException(request.address(), ex);
		}
		finally {
			if (!done) {
				connection.abort();
			}
		}
	}

	private static void requireSendable(HttpRequest request) throws ConnectFailedException {
		boolean sendable = isSendable(request.path());
		for (Map.Entry<String, String> header : request.headers().entrySet()) {
			sendable &= isSendable(header.getKey()) && isSendable(header.getValue());
		}
		if (!sendable) {
			throw new ConnectFailedException(
					"the request to " + request.address()
							+ " was not sent, since its target or a header field holds a character that HTTP forbids",
					null);
		}
	}

	// Undertow writes the low byte of each character, which can be a line break also if
	// the character is none.
	private static boolean isSendable(String text) {
		return text.chars().noneMatch((c) -> c == '\r' || c == '\n' || c == 0 || c > MAX_CHARACTER);
	}

	private HttpResponse exchange(HttpRequest request, HttpConnection connection, CallHandle handle)
			throws IOException, HttpException {
		CompletableFuture<ResponseStart> responseStart = new CompletableFuture<>();
		handle.waitFor(responseStart);
		ClientRequest head = head(request);
		RequestWriter writer = new RequestWriter(request.body(), (failure) -> {
			connection.writeFailed();
			responseStart.completeExceptionally(failure);
		});
		try {
			connection.execute(() -> connection.send(head, new StartCallback(connection, writer, responseStart)));
		}
		catch (RejectedExecutionException ex) {
			throw new ConnectFailedException("the client is closed", ex);
		}
		ResponseStart start = await(responseStart, request);
		return new HttpResponse(this, request, connection, handle, writer, start.head(), start.reader());
	}

	private static ClientRequest head(HttpRequest request) {
		ClientRequest head = new ClientRequest().setMethod(HttpString.tryFromString(request.method()))
			.setPath(request.path());
		request.headers().forEach((name, value) -> head.getRequestHeaders().put(new HttpString(name), value));
		if (!head.getRequestHeaders().contains(Headers.HOST)) {
			head.getRequestHeaders().put(Headers.HOST, request.address());
		}
		if (request.body().length > 0 || !request.method().equals("GET")) {
			head.getRequestHeaders().put(Headers.CONTENT_LENGTH, request.body().length);
		}
		return head;
	}

	private static ResponseStart await(CompletableFuture<ResponseStart> future, HttpRequest request)
			throws HttpException {
		try {
			return future.get(request.timeout().toMillis(), TimeUnit.MILLISECONDS);
		}
		catch (TimeoutException ex) {
			throw new ResponseTimeoutException(
					request.address() + " sent no response for " + request.timeout().toMillis() + " ms", ex);
		}
		catch (ExecutionException ex) {
			throw FramingException.toHttpException(request.address(), ex.getCause());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new ConnectionBrokenException("interrupted while waiting for " + request.address(), ex);
		}
	}

	private HttpConnection connection(HttpRequest request) throws ConnectFailedException {
		HttpConnection pooled = pooled(request);
		return (pooled != null) ? pooled : connect(request.address(), request.connectTimeout());
	}

	private @Nullable HttpConnection pooled(HttpRequest request) {
		Deque<IdleConnection> connections = this.idle.get(key(request));
		if (connections == null || request.maxIdle().isZero()) {
			return null;
		}
		long now = System.nanoTime();
		IdleConnection newest = connections.pollFirst();
		while (newest != null && !newest.connection().isReusable()) {
			newest = connections.pollFirst();
		}
		if (newest == null) {
			return null;
		}
		if (now - newest.lastUsed() > request.maxIdle().toNanos()) {
			connections.addFirst(newest);
			return null;
		}
		return newest.connection();
	}

	private static String key(HttpRequest request) {
		return request.pool() + '@' + request.address();
	}

	private HttpConnection connect(String address, Duration timeout) throws ConnectFailedException {
		ResponseOverhead overhead = new ResponseOverhead();
		ResponseFraming framing = new ResponseFraming();
		IoFuture<ClientConnection> future = open(address,
				new CountingIoThread(this.worker.getIoThread(), overhead, framing));
		if (future.await(timeout.toMillis(), TimeUnit.MILLISECONDS) != IoFuture.Status.DONE) {
			future.cancel();
			// The connection can be established between the timeout and the
			// cancellation.
			future.addNotifier(new CloseLateConnection(), null);
			throw new ConnectFailedException("no connection to " + address, failure(future));
		}
		try {
			return new HttpConnection(future.get(), overhead, framing);
		}
		catch (IOException ex) {
			throw new ConnectFailedException("no connection to " + address, ex);
		}
	}

	private IoFuture<ClientConnection> open(String address, CountingIoThread thread) throws ConnectFailedException {
		try {
			return UndertowClient.getInstance().connect(uri(address), thread, this.buffers, OptionMap.EMPTY);
		}
		catch (IllegalArgumentException ex) {
			throw new ConnectFailedException("no connection to " + address + ", which is not a usable address", ex);
		}
	}

	// The comparison excludes addresses that a URI takes for more than a host and a port.
	private static URI uri(String address) {
		URI uri = URI.create("http://" + address);
		boolean valid = uri.getPort() > 0 && uri.getPort() <= MAX_PORT
				&& address.equals(uri.getHost() + ':' + uri.getPort());
		if (!valid) {
			throw new IllegalArgumentException("address '" + address + "' is not of the form host:port");
		}
		return uri;
	}

	private static @Nullable IOException failure(IoFuture<ClientConnection> future) {
		return (future.getStatus() == IoFuture.Status.FAILED) ? future.getException() : null;
	}

	void release(HttpRequest request, HttpConnection connection, boolean reusable) {
		if (!request.isPooled()) {
			connection.abort();
			return;
		}
		Deque<IdleConnection> connections = this.idle.computeIfAbsent(key(request),
				(key) -> new ConcurrentLinkedDeque<>());
		if (!reusable || !connection.isReusable() || connections.size() >= MAX_IDLE_PER_PEER) {
			connection.abort();
			return;
		}
		connections.addFirst(new IdleConnection(connection, System.nanoTime()));
	}

	/**
	 * Closes the connections that have been idle for longer than a time.
	 * @param age the longest idle time
	 */
	public void closeIdle(Duration age) {
		long oldest = System.nanoTime() - age.toNanos();
		for (Deque<IdleConnection> connections : this.idle.values()) {
			IdleConnection last = connections.peekLast();
			while (last != null && last.lastUsed() < oldest && connections.removeLastOccurrence(last)) {
				last.connection().abort();
				last = connections.peekLast();
			}
		}
	}

	/**
	 * Closes all connections and stops the I/O threads.
	 */
	@Override
	public void close() {
		this.idle.values().forEach((connections) -> connections.forEach((pooled) -> pooled.connection().abort()));
		this.worker.shutdownNow();
	}

	/**
	 * Head of a response and the reader of its body.
	 *
	 * @param head the head
	 * @param reader reader of the body
	 * @author banyanstile contributors
	 */
	private record ResponseStart(ClientResponse head, ResponseReader reader) {

	}

	/**
	 * Starts writing the body of a request after Undertow accepted its head.
	 *
	 * @param connection the connection
	 * @param writer writes the body
	 * @param responseStart completed when the response head has arrived
	 * @author banyanstile contributors
	 */
	private record StartCallback(HttpConnection connection, RequestWriter writer,
			CompletableFuture<ResponseStart> responseStart) implements ClientCallback<ClientExchange> {

		@Override
		public void completed(ClientExchange exchange) {
			exchange.setResponseListener(new ResponseCallback(this.connection, this.responseStart));
			this.writer.start(exchange.getRequestChannel());
		}

		@Override
		public void failed(IOException ex) {
			this.responseStart.completeExceptionally(ex);
		}

	}

	/**
	 * Starts reading the body after the head of a response has arrived.
	 *
	 * @param connection the connection
	 * @param responseStart completed when the response head has arrived
	 * @author banyanstile contributors
	 */
	private record ResponseCallback(HttpConnection connection,
			CompletableFuture<ResponseStart> responseStart) implements ClientCallback<ClientExchange> {

		@Override
		public void completed(ClientExchange exchange) {
			ResponseReader reader = new ResponseReader(this.connection, exchange.getResponseChannel());
			// A body that is truncated at once also fails this callback, which must not
			// hide the head.
			this.responseStart.complete(new ResponseStart(exchange.getResponse(), reader));
			reader.start();
		}

		@Override
		public void failed(IOException ex) {
			this.responseStart.completeExceptionally(ex);
		}

	}

	/**
	 * A pooled connection.
	 *
	 * @param connection the connection
	 * @param lastUsed {@link System#nanoTime()} at the end of its last use
	 * @author banyanstile contributors
	 */
	private record IdleConnection(HttpConnection connection, long lastUsed) {

	}

	/**
	 * Closes a connection that was established after the connect timeout.
	 */
	private static final class CloseLateConnection extends IoFuture.HandlingNotifier<ClientConnection, Object> {

		@Override
		public void handleDone(ClientConnection connection, Object attachment) {
			IoUtils.safeClose(connection);
		}

	}

}
