package org.banyanstile.io.http;

import java.io.IOException;
import java.util.concurrent.RejectedExecutionException;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import org.xnio.IoUtils;

/**
 * Connection of {@link HttpClient}. Keeps whether this side has closed it, since
 * Undertow's {@link ClientConnection#isOpen()} also says {@code false} while a response
 * arrives after which the peer will close.
 *
 * @author banyanstile contributors
 */
final class HttpConnection {

	private final ClientConnection connection;

	private volatile boolean aborted;

	HttpConnection(ClientConnection connection) {
		this.connection = connection;
	}

	/**
	 * Runs a task on the I/O thread of the connection. Undertow's connection and its
	 * channels may only be used there.
	 * @param task the task
	 */
	void execute(Runnable task) {
		this.connection.getIoThread().execute(task);
	}

	/**
	 * Sends the head of a request. Called on the I/O thread.
	 * @param head the head
	 * @param callback called with the exchange
	 */
	void send(ClientRequest head, ClientCallback<ClientExchange> callback) {
		this.connection.sendRequest(head, callback);
	}

	boolean isReusable() {
		return !this.aborted && this.connection.isOpen();
	}

	boolean isAborted() {
		return this.aborted;
	}

	/**
	 * Closes the socket at once. Undertow's own close only ends the request that is being
	 * written and waits for the rest of the response, so a server would go on with a
	 * request that nobody waits for.
	 */
	void abort() {
		this.aborted = true;
		try {
			execute(this::close);
		}
		catch (RejectedExecutionException ex) {
			// The client was closed, and its I/O threads closed their sockets at their
			// end.
		}
	}

	private void close() {
		try {
			IoUtils.safeClose(this.connection.performUpgrade());
		}
		catch (IOException ex) {
			// It was upgraded by an earlier abort.
			IoUtils.safeClose(this.connection);
		}
	}

}
