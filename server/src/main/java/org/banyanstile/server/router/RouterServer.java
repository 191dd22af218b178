package org.banyanstile.server.router;

import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import org.jspecify.annotations.Nullable;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * HTTP server for callers, readiness checks, directory requests and metrics.
 *
 * @author banyanstile contributors
 */
final class RouterServer implements AutoCloseable {

	private static final int MAX_HEADER_BYTES = 64 * 1024;

	private static final int HEADER_TIMEOUT_MILLIS = 15_000;

	/**
	 * Idle time after which a caller's connection is closed, longer than any
	 * configuration lets callers rely on.
	 */
	private static final int IDLE_TIMEOUT_MILLIS = 120_000;

	/**
	 * Interval at which running requests are checked for disconnected callers and expired
	 * time limits.
	 */
	private static final long CANCEL_CHECK_INTERVAL_MILLIS = 50;

	/**
	 * Several times what an earlier process takes to exit.
	 */
	private static final long BIND_TIMEOUT_NANOS = 5_000_000_000L;

	/**
	 * Longest wait for the threads of the server after the last request. The platform
	 * kills a process some seconds after it asked it to stop.
	 */
	private static final long WORKER_STOP_MILLIS = 1000;

	/**
	 * Threads that are kept for requests while none are served.
	 */
	private static final int CORE_REQUEST_THREADS = 4;

	private static final long BIND_PAUSE_NANOS = 100_000_000;

	private static final Duration DIRECTORY_TTL = Duration.ofSeconds(2);

	private final RouterServices services;

	private final RequestIntake intake;

	private final DirectoryProtocol directory;

	private final Supplier<List<String>> callerAddresses;

	private final GracefulShutdown shutdown;

	private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor((body) -> {
		Thread thread = new Thread(body, "call-watch");
		thread.setDaemon(true);
		return thread;
	});

	private @Nullable Undertow server;

	private @Nullable XnioWorker worker;

	RouterServer(RouterServices services, RequestIntake intake, DirectoryProtocol directory,
			Supplier<List<String>> callerAddresses, GracefulShutdown shutdown) {
		this.services = services;
		this.intake = intake;
		this.directory = directory;
		this.callerAddresses = callerAddresses;
		this.shutdown = shutdown;
	}

	/**
	 * Binds all addresses. Binding is retried while an earlier process of this VM still
	 * uses them.
	 * @param addresses addresses to listen at
	 * @param operatorPages responses to operators
	 */
	void start(RouterAddresses addresses, OperatorPages operatorPages) {
		XnioWorker created = createWorker();
		this.worker = created;
		long deadline = System.nanoTime() + BIND_TIMEOUT_NANOS;
		while (this.server == null) {
			Undertow built = build(addresses, operatorPages, created);
			try {
				built.start();
				this.server = built;
			}
			catch (RuntimeException ex) {
				built.stop();
				if (!(ex.getCause() instanceof BindException) || System.nanoTime() > deadline) {
					throw ex;
				}
				this.services.log().problem("address is still in use; retrying to bind", ex);
				LockSupport.parkNanos(BIND_PAUSE_NANOS);
			}
		}
		schedule(Duration.ofMillis(CANCEL_CHECK_INTERVAL_MILLIS), this.intake::cancelEndedCalls);
	}

	// With a worker of its own, a server whose start fails shuts it down and cannot close
	// the addresses that it has bound.
	private static XnioWorker createWorker() {
		OptionMap options = OptionMap.builder()
			.set(Options.WORKER_IO_THREADS, 1)
			.set(Options.WORKER_TASK_CORE_THREADS, CORE_REQUEST_THREADS)
			.set(Options.WORKER_TASK_MAX_THREADS, RequestIntake.MAX_CONCURRENT_REQUESTS)
			.set(Options.TCP_NODELAY, true)
			.set(Options.CORK, true)
			.getMap();
		try {
			return Xnio.getInstance(Undertow.class.getClassLoader()).createWorker(options);
		}
		catch (IOException ex) {
			throw new IllegalStateException("cannot create the threads of the server", ex);
		}
	}

	private Undertow build(RouterAddresses addresses, OperatorPages operatorPages, XnioWorker threads) {
		Undertow.Builder builder = Undertow.builder()
			.setWorker(threads)
			.setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
			.setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, HEADER_TIMEOUT_MILLIS)
			.setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_TIMEOUT_MILLIS)
			.setServerOption(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
			.setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
			.setServerOption(UndertowOptions.DECODE_URL, false)
			.setServerOption(UndertowOptions.ALLOW_UNESCAPED_CHARACTERS_IN_URL, true)
			.setSocketOption(Options.TCP_NODELAY, true);
		listen(builder, addresses.callers(), this.intake);
		listen(builder, addresses.readiness(), this::readiness);
		listen(builder, addresses.directory(), this::directory);
		if (addresses.metrics() != null) {
			listen(builder, addresses.metrics(), operatorPages);
		}
		return builder.build();
	}

	/**
	 * Runs a task periodically while the server runs.
	 * @param period time from the end of one run to the start of the next
	 * @param task the task, which must not block
	 */
	void schedule(Duration period, Runnable task) {
		var unused = this.timer.scheduleWithFixedDelay(() -> runGuarded(task), period.toMillis(), period.toMillis(),
				TimeUnit.MILLISECONDS);
	}

	// A task that throws is not run again by the executor.
	private void runGuarded(Runnable task) {
		try {
			task.run();
		}
		catch (RuntimeException | Error ex) {
			this.services.log().problem("a periodic task failed and will be run again", ex);
		}
	}

	private static void listen(Undertow.Builder builder, InetSocketAddress address, HttpHandler handler) {
		builder.addHttpListener(address.getPort(), address.getHostString(), handler);
	}

	private void readiness(HttpServerExchange exchange) {
		boolean ready = this.directory.isReadiness(exchange.getRequestPath())
				&& this.services.view().snapshot().catalog() != null && !this.shutdown.hasBegun();
		exchange.setStatusCode(ready ? 200 : 503);
		exchange.endExchange();
	}

	private void directory(HttpServerExchange exchange) {
		if (!this.directory.isDirectory(exchange.getRequestPath())) {
			exchange.setStatusCode(404);
			exchange.endExchange();
			return;
		}
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
		exchange.getResponseSender()
			.send(ByteBuffer.wrap(this.directory.directoryResponse(this.callerAddresses.get(), DIRECTORY_TTL)));
	}

	private static void shutDown(XnioWorker threads) {
		threads.shutdown();
		boolean ended = false;
		try {
			ended = threads.awaitTermination(WORKER_STOP_MILLIS, TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		if (!ended) {
			threads.shutdownNow();
		}
	}

	@Override
	public void close() {
		this.timer.shutdownNow();
		Undertow started = this.server;
		if (started != null) {
			started.stop();
		}
		XnioWorker threads = this.worker;
		if (threads != null) {
			shutDown(threads);
		}
	}

}
