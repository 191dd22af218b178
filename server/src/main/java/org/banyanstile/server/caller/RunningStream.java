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
	 * A superseded request notices it within the longest wait for a token, 500 ms; one
	 * that still waits for a slot or a prefill may take this long.
	 */
	private static final long SURRENDER_MILLIS = 3000;

	private final String bodyHash;

	private final CallControl control;

	private final CompletableFuture<Optional<Handover>> left = new CompletableFuture<>();

	RunningStream(String bodyHash, CallControl control) {
		this.bodyHash = bodyHash;
		this.control = control;
	}

	String bodyHash() {
		return this.bodyHash;
	}

	/**
	 * Reports that the request has ended on this VM.
	 * @param handover the stream that continues at the engine, or {@code null}
	 */
	void leave(@Nullable Handover handover) {
		this.left.complete(Optional.ofNullable(handover));
	}

	/**
	 * Ends the request and waits until it has left.
	 * @return the stream that continues at the engine, or {@code null} if none does
	 */
	@Nullable
	Handover supersede() {
		this.control.abort(AbortReason.SUPERSEDED);
		try {
			return this.left.get(SURRENDER_MILLIS, TimeUnit.MILLISECONDS).orElse(null);
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
