package org.banyanstile.io.http;

import java.nio.channels.ClosedChannelException;
import java.util.concurrent.CompletableFuture;

import org.jspecify.annotations.Nullable;

/**
 * Cancels a call of {@link HttpClient} from another thread by closing its connection. A
 * cancelled handle fails every later call.
 *
 * @author banyanstile contributors
 */
public final class CallHandle {

	private @Nullable HttpConnection connection;

	private @Nullable CompletableFuture<?> pending;

	private boolean cancelled;

	synchronized boolean begin(HttpConnection next) {
		this.connection = next;
		this.pending = null;
		return !this.cancelled;
	}

	/**
	 * Sets the future that the call waits for. It must be failed explicitly, because
	 * closing a connection does not fail a pending response.
	 * @param next completed exceptionally when the call is cancelled
	 */
	synchronized void waitFor(CompletableFuture<?> next) {
		this.pending = next;
		if (this.cancelled) {
			next.completeExceptionally(new ClosedChannelException());
		}
	}

	/**
	 * Clears the reference to the connection of the last call, which may return to its
	 * pool.
	 */
	public synchronized void end() {
		this.connection = null;
		this.pending = null;
	}

	/**
	 * Clears the reference to a connection before other calls may use it.
	 * @param released the connection
	 */
	synchronized void release(HttpConnection released) {
		if (this.connection == released) {
			this.connection = null;
		}
	}

	/**
	 * Closes the connection of the running call and fails all later calls.
	 */
	public void cancel() {
		CompletableFuture<?> waiting;
		synchronized (this) {
			this.cancelled = true;
			waiting = this.pending;
			if (this.connection != null) {
				this.connection.abort();
			}
			this.connection = null;
			this.pending = null;
		}
		if (waiting != null) {
			waiting.completeExceptionally(new ClosedChannelException());
		}
	}

}
