package org.banyanstile.server.caller;

import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.banyanstile.server.endpoint.EndpointException;
import org.banyanstile.server.endpoint.EngineClient;

/**
 * Cancels requests at engines asynchronously, with retries until the engine confirms.
 *
 * @author banyanstile contributors
 */
public final class EngineCanceller implements AutoCloseable {

	private static final int MAX_ATTEMPTS = 8;

	private static final long RETRY_DELAY_MILLIS = 250;

	private final EngineClient engine;

	private final ScheduledExecutorService executor;

	private EngineCanceller(EngineClient engine, ScheduledExecutorService executor) {
		this.engine = engine;
		this.executor = executor;
	}

	/**
	 * Creates a canceller.
	 * @param engine the engine client
	 * @param threads number of threads
	 * @return the canceller
	 */
	public static EngineCanceller create(EngineClient engine, int threads) {
		return new EngineCanceller(engine, Executors.newScheduledThreadPool(threads, (task) -> {
			Thread thread = new Thread(task, "engine-cancel");
			thread.setDaemon(true);
			return thread;
		}));
	}

	/**
	 * Cancels a request.
	 * @param address address of the engine
	 * @param requestId identifier of the request
	 */
	public void cancel(String address, String requestId) {
		schedule(() -> attempt(address, requestId, MAX_ATTEMPTS), 0);
	}

	/**
	 * Cancels a request after a delay unless another VM has taken it over.
	 * @param address address of the engine
	 * @param requestId identifier of the request
	 * @param holder the VM and epoch on whose behalf the request runs now
	 * @param delayMillis the delay
	 */
	public void cancelUnlessTakenOver(String address, String requestId, String holder, long delayMillis) {
		schedule(() -> {
			if (isHeldBy(address, requestId, holder)) {
				attempt(address, requestId, MAX_ATTEMPTS);
			}
		}, delayMillis);
	}

	private boolean isHeldBy(String address, String requestId, String holder) {
		try {
			return this.engine.streams(address)
				.stream()
				.anyMatch((stream) -> stream.requestId().equals(requestId) && stream.holder().equals(holder));
		}
		catch (EndpointException ex) {
			return false;
		}
	}

	private void attempt(String address, String requestId, int attemptsLeft) {
		if (!this.engine.cancel(address, requestId) && attemptsLeft > 1) {
			schedule(() -> attempt(address, requestId, attemptsLeft - 1), RETRY_DELAY_MILLIS);
		}
	}

	private void schedule(Runnable task, long delayMillis) {
		try {
			this.executor.schedule(task, delayMillis, TimeUnit.MILLISECONDS);
		}
		catch (RejectedExecutionException ex) {
			// The VM is shutting down; the owner of the pool cancels the remaining
			// requests.
		}
	}

	@Override
	public void close() {
		this.executor.shutdownNow();
	}

}
