package org.banyanstile.io.http;

import io.undertow.client.ClientConnection;
import org.jspecify.annotations.Nullable;
import org.xnio.IoUtils;

/**
 * Cancels a call of {@link HttpClient} from another thread by closing its connection. A
 * cancelled handle fails every later call.
 *
 * @author banyanstile contributors
 */
public final class CallHandle {

	private @Nullable ClientConnection connection;

	private boolean cancelled;

	synchronized boolean begin(ClientConnection next) {
		this.connection = next;
		return !this.cancelled;
	}

	/**
	 * Forgets the connection of the last call, which may go back to its pool.
	 */
	public synchronized void end() {
		this.connection = null;
	}

	/**
	 * Returns whether the handle was cancelled.
	 * @return whether it was
	 */
	public synchronized boolean isCancelled() {
		return this.cancelled;
	}

	/**
	 * Closes the connection of the running call and fails all later calls.
	 */
	public void cancel() {
		ClientConnection running;
		synchronized (this) {
			this.cancelled = true;
			running = this.connection;
			this.connection = null;
		}
		IoUtils.safeClose(running);
	}

}
