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
import org.banyanstile.server.caller.CallerConnection;
import org.jspecify.annotations.Nullable;
import org.xnio.IoUtils;

/**
 * Answer to a caller, written by the thread that serves the request.
 *
 * @author banyanstile contributors
 */
final class CallerResponse {

	private final HttpServerExchange exchange;

	private final CallerConnection connection;

	private @Nullable OutputStream out;

	private boolean closing;

	CallerResponse(HttpServerExchange exchange, CallerConnection connection) {
		this.exchange = exchange;
		this.connection = connection;
	}

	boolean isStarted() {
		return this.out != null;
	}

	/**
	 * Asks the caller to close the connection after this answer.
	 */
	void closeAfterwards() {
		this.closing = true;
	}

	/**
	 * Sends the head of an endpoint's answer.
	 * @param status its status
	 * @param headers its header fields
	 * @param protocol decides which fields go back
	 */
	void start(int status, List<Map.Entry<String, String>> headers, RequestProtocol protocol) {
		this.exchange.setStatusCode(status);
		for (Map.Entry<String, String> header : headers) {
			if (protocol.isPassedBack(header.getKey())) {
				this.exchange.getResponseHeaders().add(new HttpString(header.getKey()), header.getValue());
			}
		}
		if (!this.exchange.getResponseHeaders().contains(Headers.CONTENT_LENGTH) && this.exchange.isHttp11()) {
			// Without it a body on a connection that will close has no end of its own, so
			// one that breaks off looks complete.
			this.exchange.getResponseHeaders().put(Headers.TRANSFER_ENCODING, "chunked");
		}
		open();
	}

	private OutputStream open() {
		if (this.closing) {
			this.exchange.setPersistent(false);
			this.exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
		}
		this.exchange.startBlocking();
		OutputStream opened = this.exchange.getOutputStream();
		this.out = opened;
		return opened;
	}

	/**
	 * Sends a part of the body at once.
	 * @param bytes the part
	 * @throws IOException if the caller has gone
	 */
	void write(ByteBuffer bytes) throws IOException {
		OutputStream opened = this.out;
		if (opened == null) {
			throw new IllegalStateException("the answer has not begun");
		}
		byte[] part = new byte[bytes.remaining()];
		bytes.get(part);
		opened.write(part);
		opened.flush();
	}

	/**
	 * Ends a complete answer.
	 * @throws IOException if the caller has gone
	 */
	void end() throws IOException {
		this.connection.stop();
		OutputStream opened = this.out;
		if (opened != null) {
			opened.close();
		}
		this.exchange.endExchange();
	}

	/**
	 * Sends a whole answer.
	 * @param status its status
	 * @param headers its header fields
	 * @param body its body
	 * @param protocol decides which fields go back
	 * @throws IOException if the caller has gone
	 */
	void send(int status, List<Map.Entry<String, String>> headers, byte[] body, RequestProtocol protocol)
			throws IOException {
		this.exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, body.length);
		start(status, headers, protocol);
		OutputStream opened = this.out;
		if (opened != null && body.length > 0) {
			opened.write(body);
		}
		end();
	}

	/**
	 * Sends an answer of the router's own.
	 * @param refusal what to answer
	 * @throws IOException if the caller has gone
	 */
	void refuse(RefusalException refusal) throws IOException {
		byte[] body = ("{\"error\":\"" + refusal.getMessage().replace('"', '\'') + "\"}")
			.getBytes(StandardCharsets.UTF_8);
		this.exchange.setStatusCode(refusal.status());
		this.exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
		this.exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, body.length);
		if (refusal.retryAfterSeconds() > 0) {
			this.exchange.getResponseHeaders()
				.put(Headers.RETRY_AFTER, String.format(Locale.ROOT, "%.2f", refusal.retryAfterSeconds()));
		}
		OutputStream opened = open();
		opened.write(body);
		end();
	}

	/**
	 * Breaks the connection, so that an incomplete answer cannot look complete.
	 */
	void abort() {
		this.connection.stop();
		IoUtils.safeClose(this.exchange.getConnection());
	}

}
