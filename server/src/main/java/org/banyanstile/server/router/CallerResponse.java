package org.banyanstile.server.router;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import org.banyanstile.io.http.BodyChunks;
import org.banyanstile.server.caller.CallerConnection;
import org.jspecify.annotations.Nullable;
import org.xnio.Options;

/**
 * Response to a caller, written by the thread that serves the request.
 *
 * @author banyanstile contributors
 */
final class CallerResponse {

	private static final long UNKNOWN_LENGTH = -1;

	private final HttpServerExchange exchange;

	private final CallerConnection connection;

	private final OpenExchange open;

	private final DecisionLog log;

	private @Nullable OutputStream out;

	private boolean closesConnection;

	CallerResponse(HttpServerExchange exchange, CallerConnection connection, OpenExchange open, DecisionLog log) {
		this.exchange = exchange;
		this.connection = connection;
		this.open = open;
		this.log = log;
	}

	boolean isStarted() {
		return this.out != null;
	}

	/**
	 * Asks the caller to close the connection after this response.
	 */
	void closeConnectionAfterResponse() {
		this.closesConnection = true;
	}

	/**
	 * Sends the status and header fields of an endpoint's response.
	 * @param status its status
	 * @param headers its header fields
	 * @param protocol decides which header fields are forwarded
	 * @throws IOException if the exchange was answered at its deadline
	 */
	void start(int status, List<Map.Entry<String, String>> headers, RequestProtocol protocol) throws IOException {
		start(status, headers, UNKNOWN_LENGTH, protocol);
	}

	private void start(int status, List<Map.Entry<String, String>> headers, long length, RequestProtocol protocol)
			throws IOException {
		List<Map.Entry<String, String>> forwarded = headers.stream()
			.filter((header) -> protocol.isForwardedToCaller(header.getKey()))
			.toList();
		takeResponse();
		this.exchange.setStatusCode(status);
		for (Map.Entry<String, String> header : forwarded) {
			this.exchange.getResponseHeaders().add(new HttpString(header.getKey()), header.getValue());
		}
		if (length >= 0) {
			this.exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, length);
		}
		else if (!this.exchange.getResponseHeaders().contains(Headers.CONTENT_LENGTH) && this.exchange.isHttp11()) {
			// On a connection that will close, a body without chunked coding ends with
			// the connection, so a truncated body would look complete.
			this.exchange.getResponseHeaders().put(Headers.TRANSFER_ENCODING, "chunked");
		}
		open();
	}

	private void takeResponse() throws IOException {
		if (!this.open.tryTakeResponse()) {
			throw new IOException("the exchange was answered at its deadline");
		}
	}

	private OutputStream open() {
		if (this.closesConnection) {
			this.exchange.setPersistent(false);
			this.exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
		}
		this.exchange.startBlocking();
		OutputStream stream = this.exchange.getOutputStream();
		this.out = stream;
		return stream;
	}

	/**
	 * Sends a part of the body without delay.
	 * @param bytes the part
	 * @throws IOException if the caller has disconnected
	 */
	void write(ByteBuffer bytes) throws IOException {
		OutputStream stream = this.out;
		if (stream == null) {
			throw new IllegalStateException("the head of the response has not been sent");
		}
		byte[] chunk = new byte[bytes.remaining()];
		bytes.get(chunk);
		stream.write(chunk);
		stream.flush();
	}

	/**
	 * Ends a complete response.
	 * @throws IOException if the caller has disconnected
	 */
	void end() throws IOException {
		this.connection.stop();
		OutputStream stream = this.out;
		if (stream != null) {
			stream.close();
		}
		this.exchange.endExchange();
	}

	/**
	 * Sends a complete response.
	 * @param status its status
	 * @param headers its header fields
	 * @param body its body
	 * @param protocol decides which header fields are forwarded
	 * @throws IOException if the caller has disconnected
	 */
	void send(int status, List<Map.Entry<String, String>> headers, BodyChunks body, RequestProtocol protocol)
			throws IOException {
		start(status, headers, body.size(), protocol);
		OutputStream stream = this.out;
		if (stream != null) {
			body.writeTo(stream);
		}
		end();
	}

	/**
	 * Sends an error response of the router.
	 * @param rejection status and reason
	 * @throws IOException if the caller has disconnected
	 */
	void reject(RejectionException rejection) throws IOException {
		byte[] body = ("{\"error\":\"" + rejection.getMessage().replace('"', '\'') + "\"}")
			.getBytes(StandardCharsets.UTF_8);
		takeResponse();
		this.exchange.setStatusCode(rejection.status());
		this.exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
		this.exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, body.length);
		if (rejection.retryAfterSeconds() > 0) {
			this.exchange.getResponseHeaders()
				.put(Headers.RETRY_AFTER, String.format(Locale.ROOT, "%.2f", rejection.retryAfterSeconds()));
		}
		OutputStream stream = open();
		stream.write(body);
		end();
	}

	/**
	 * Closes the connection, so that a truncated response cannot look complete. After a
	 * complete response, or an answer at the deadline, the connection is left as it is.
	 */
	void abort() {
		this.connection.stop();
		if (this.open.isAnsweredAtDeadline()) {
			return;
		}
		this.connection.close(() -> {
			if (!this.exchange.isHttp11()) {
				resetOnClose();
			}
		});
	}

	// HTTP/1.0 has no chunks, so an ordinary end of the connection would end the body.
	private void resetOnClose() {
		try {
			this.exchange.getConnection().setOption(Options.CLOSE_ABORT, true);
		}
		catch (IOException ex) {
			this.log.problem("connection of an HTTP/1.0 caller could not be set to reset", ex);
		}
	}

}
