package org.banyanstile.emulator.http;

import java.util.concurrent.atomic.AtomicLong;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;

/**
 * Counts requests that carry a caller's credentials, which must not reach an endpoint.
 *
 * @author banyanstile contributors
 */
public final class KeyLeaks {

	private static final String KEY_PREFIX = "bk_";

	private final AtomicLong authorizations = new AtomicLong();

	private final AtomicLong keys = new AtomicLong();

	/**
	 * Inspects the header fields and the query of a request.
	 * @param exchange the exchange
	 */
	public void inspect(HttpServerExchange exchange) {
		HeaderMap headers = exchange.getRequestHeaders();
		if (headers.contains(Headers.AUTHORIZATION)) {
			this.authorizations.incrementAndGet();
		}
		inspect(exchange.getRequestURI() + "?" + exchange.getQueryString());
		for (HeaderValues values : headers) {
			values.forEach(this::inspect);
		}
	}

	/**
	 * Inspects text of a request.
	 * @param text a header value or a body
	 */
	public void inspect(String text) {
		if (text.contains(KEY_PREFIX)) {
			this.keys.incrementAndGet();
		}
	}

	/**
	 * Returns the number of requests with an {@code Authorization} header.
	 * @return the number
	 */
	public long authorizations() {
		return this.authorizations.get();
	}

	/**
	 * Returns how often a caller's key was seen.
	 * @return the number
	 */
	public long keys() {
		return this.keys.get();
	}

}
