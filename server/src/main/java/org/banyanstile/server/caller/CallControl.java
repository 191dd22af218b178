package org.banyanstile.server.caller;

import java.util.concurrent.atomic.AtomicReference;

import org.jspecify.annotations.Nullable;

/**
 * Lets other threads abort a running request. Only the first abort has an effect.
 *
 * @author banyanstile contributors
 */
final class CallControl {

	private static final Runnable NO_ACTION = () -> {
	};

	private final AtomicReference<@Nullable AbortReason> reason = new AtomicReference<>();

	private final AtomicReference<Runnable> abortAction = new AtomicReference<>(NO_ACTION);

	/**
	 * Aborts the request and runs the abort action, if one is set.
	 * @param abortReason the reason
	 */
	void abort(AbortReason abortReason) {
		if (this.reason.compareAndSet(null, abortReason)) {
			this.abortAction.getAndSet(NO_ACTION).run();
		}
	}

	/**
	 * Returns why the request was aborted.
	 * @return the reason, or {@code null} if it was not aborted
	 */
	@Nullable
	AbortReason reason() {
		return this.reason.get();
	}

	/**
	 * Throws if the request was aborted.
	 * @throws RequestException if it was
	 */
	void throwIfAborted() throws RequestException {
		AbortReason abortReason = this.reason.get();
		if (abortReason != null) {
			throw abortReason.toException();
		}
	}

	/**
	 * Sets the action that ends a blocking step early, such as a cancellation at the
	 * engine.
	 * @param action the action, run at most once, by the aborting thread
	 * @throws RequestException if the request was already aborted
	 */
	void onAbort(Runnable action) throws RequestException {
		this.abortAction.set(action);
		throwIfAborted();
	}

	/**
	 * Removes the abort action of a step that has ended.
	 */
	void clearAbortAction() {
		this.abortAction.set(NO_ACTION);
	}

}
