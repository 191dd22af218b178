package org.banyanstile.io.http;

import java.io.EOFException;
import java.io.IOException;
import java.util.concurrent.RejectedExecutionException;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import org.xnio.IoUtils;

/**
 * Connection of {@link HttpClient}. Records whether this side has closed it, because
 * Undertow's {@link ClientConnection#isOpen()} also returns {@code false} during a
 * response after which the peer will close the connection.
 *
 * @author banyanstile contributors
 */
final class HttpConnection {

	private final ClientConnection connection;

	private final ResponseOverhead overhead;

	private final ResponseFraming framing;

	private volatile boolean aborted;

	private volatile boolean parserWaits;

	private boolean writeFailed;

	private volatile int exchanges;

	HttpConnection(ClientConnection connection, ResponseOverhead overhead, ResponseFraming framing) {
		this.connection = connection;
		this.overhead = overhead;
		this.framing = framing;
	}

	ResponseOverhead overhead() {
		return this.overhead;
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
	 * Sends the head of a request. Must be called on the I/O thread.
	 * @param head the head
	 * @param callback called with the exchange
	 */
	void send(ClientRequest head, ClientCallback<ClientExchange> callback) {
		this.writeFailed = false;
		this.overhead.reset();
		this.framing.begin(head.getMethod().toString());
		this.exchanges = this.exchanges + 1;
		this.connection.sendRequest(head, callback);
	}

	/**
	 * Returns the number of requests that were sent.
	 * @return the number
	 */
	int exchanges() {
		return this.exchanges;
	}

	boolean isReusable() {
		return !this.aborted && !this.parserWaits && this.framing.fault() == null && this.connection.isOpen();
	}

	/**
	 * Returns whether a read has reached the end of the response. Must be called on the
	 * I/O thread.
	 * @param n number of bytes that were read, -1 if the parser found the end
	 * @return whether it has
	 * @throws IOException if more bytes of the response are due by its framing
	 */
	boolean isEnd(int n) throws IOException {
		if (n < 0 && !this.framing.isComplete()) {
			throw new EOFException("the response ended inside its framing");
		}
		if (n < 0 && this.writeFailed && !this.framing.isDelimited()) {
			throw new EOFException("the connection broke before the request was written");
		}
		if (n == 0 && this.framing.isCompleteWithoutBody()) {
			// Undertow waits for a body of the content length of a response with status
			// 304.
			this.parserWaits = true;
		}
		return n < 0 || this.parserWaits;
	}

	/**
	 * Records that the request could not be written. A socket tells a reset of the
	 * connection only once, so the reader may see a regular end. Must be called on the
	 * I/O thread.
	 */
	void writeFailed() {
		this.writeFailed = true;
	}

	boolean isAborted() {
		return this.aborted;
	}

	/**
	 * Closes the socket immediately. Undertow's own close only ends the request that is
	 * being written and waits for the rest of the response, so a server would continue
	 * with a request that has been abandoned.
	 */
	void abort() {
		this.aborted = true;
		try {
			execute(this::close);
		}
		catch (RejectedExecutionException ex) {
			// The client was closed, and its I/O threads closed their sockets when they
			// stopped.
		}
	}

	private void close() {
		try {
			IoUtils.safeClose(this.connection.performUpgrade());
		}
		catch (IOException ex) {
			// An earlier abort has already upgraded the connection.
			IoUtils.safeClose(this.connection);
		}
	}

}
