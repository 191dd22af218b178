package org.banyanstile.server.caller;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import org.jspecify.annotations.Nullable;

/**
 * A request with an idempotency key that this VM serves now.
 *
 * @author banyanstile contributors
 */
final class RunningStream {

	/**
	 * A superseded request ends within the maximum wait for a token, 500 ms, but may take
	 * this long if it still waits for a slot or a prefill.
	 */
	private static final long SUPERSEDE_TIMEOUT_MILLIS = 3000;

	private final String bodyHash;

	private final CallControl control;

	private final CompletableFuture<Optional<StreamHandle>> ended = new CompletableFuture<>();

	RunningStream(String bodyHash, CallControl control) {
		this.bodyHash = bodyHash;
		this.control = control;
	}

	String bodyHash() {
		return this.bodyHash;
	}

	/**
	 * Marks the request as ended on this VM.
	 * @param handover the stream that continues at the engine, or {@code null}
	 */
	void complete(@Nullable StreamHandle handover) {
		this.ended.complete(Optional.ofNullable(handover));
	}

	/**
	 * Aborts the request and waits until it has ended.
	 * @return the stream that continues at the engine, or {@code null} if none does
	 */
	@Nullable
	StreamHandle supersede() {
		this.control.abort(AbortReason.SUPERSEDED);
		try {
			return this.ended.get(SUPERSEDE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).orElse(null);
		}
		catch (ExecutionException | TimeoutException ex) {
			return null;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return null;
		}
	}

}
