package org.banyanstile.io.http;

import java.io.IOException;

import io.undertow.client.ClientConnection;
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

	ClientConnection undertow() {
		return this.connection;
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
		this.connection.getIoThread().execute(() -> {
			try {
				IoUtils.safeClose(this.connection.performUpgrade());
			}
			catch (IOException ex) {
				// It was upgraded by an earlier abort.
				IoUtils.safeClose(this.connection);
			}
		});
	}

}
