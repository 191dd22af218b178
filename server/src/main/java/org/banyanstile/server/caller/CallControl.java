package org.banyanstile.server.caller;

import java.util.concurrent.atomic.AtomicReference;

import org.jspecify.annotations.Nullable;

/**
 * Lets other threads end a running request. The first reason wins.
 *
 * @author banyanstile contributors
 */
final class CallControl {

	private static final Runnable NOTHING = () -> {
	};

	private final AtomicReference<@Nullable AbortReason> reason = new AtomicReference<>();

	private final AtomicReference<Runnable> interruption = new AtomicReference<>(NOTHING);

	/**
	 * Ends the request. Runs the interruption that is set, if any.
	 * @param why the reason
	 */
	void abort(AbortReason why) {
		if (this.reason.compareAndSet(null, why)) {
			this.interruption.getAndSet(NOTHING).run();
		}
	}

	/**
	 * Returns why the request must end.
	 * @return the reason, or {@code null} if it goes on
	 */
	@Nullable
	AbortReason reason() {
		return this.reason.get();
	}

	/**
	 * Throws if the request must end.
	 * @throws RequestException if it must
	 */
	void check() throws RequestException {
		AbortReason why = this.reason.get();
		if (why != null) {
			throw why.error();
		}
	}

	/**
	 * Sets what makes a blocking step end early, such as a cancellation at the engine.
	 * @param action the action, run at most once, by the aborting thread
	 * @throws RequestException if the request must end already
	 */
	void onAbort(Runnable action) throws RequestException {
		this.interruption.set(action);
		check();
	}

	/**
	 * Removes the interruption of a step that has ended.
	 */
	void clear() {
		this.interruption.set(NOTHING);
	}

}
