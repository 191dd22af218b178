package org.banyanstile.io.http;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * An HTTP request with a body that is held in memory.
 *
 * @param method the request method
 * @param address address of the peer as {@code ip:port}, for example
 * {@code 127.0.0.1:8101}
 * @param path path with query
 * @param headers header fields
 * @param body the body, empty if there is none
 * @param timeout longest wait for the connection, and separately for the response head
 * @param connectTimeout longest wait for a new connection
 * @param maxIdle longest idle time of a pooled connection that is reused; zero requires a
 * new connection. A pooled one can break after the request was sent, which leaves the
 * outcome of a non-idempotent call unknown
 * @param pool name of the connection pool; a late response on a pooled connection can
 * only be received by a request of the same pool
 * @author banyanstile contributors
 */
public record HttpRequest(String method, String address, String path, Map<String, String> headers, byte[] body,
		Duration timeout, Duration connectTimeout, Duration maxIdle, String pool) {

	/**
	 * Idle time below which most servers keep a connection open.
	 */
	public static final Duration DEFAULT_MAX_IDLE = Duration.ofSeconds(30);

	/**
	 * Pool of requests whose connection is closed after its response.
	 */
	private static final String NO_POOL = "none";

	private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(5);

	private static final byte[] NO_BODY = new byte[0];

	/**
	 * Creates a request for the default pool.
	 * @param method the request method
	 * @param address address of the peer as {@code ip:port}
	 * @param path path with query
	 * @param headers header fields
	 * @param body the body, empty if there is none
	 * @param timeout longest wait for the connection, and separately for the response
	 * head
	 * @param freshConnection whether a new connection must be used, which is closed after
	 * the response
	 */
	public HttpRequest(String method, String address, String path, Map<String, String> headers, byte[] body,
			Duration timeout, boolean freshConnection) {
		this(method, address, path, headers, body, timeout, timeout, freshConnection ? Duration.ZERO : DEFAULT_MAX_IDLE,
				freshConnection ? NO_POOL : "");
	}

	/**
	 * Returns a request without a body.
	 * @param address address of the peer as {@code ip:port}
	 * @param path path with query
	 * @return the request
	 */
	public static HttpRequest get(String address, String path) {
		return new HttpRequest("GET", address, path, Map.of(), NO_BODY, DEFAULT_TIMEOUT, false);
	}

	/**
	 * Returns a POST request with a JSON body.
	 * @param address address of the peer as {@code ip:port}
	 * @param path path with query
	 * @param json the body
	 * @return the request
	 */
	public static HttpRequest postJson(String address, String path, String json) {
		return new HttpRequest("POST", address, path, Map.of("Content-Type", "application/json"),
				json.getBytes(StandardCharsets.UTF_8), DEFAULT_TIMEOUT, false);
	}

	/**
	 * Returns a copy with one more header field.
	 * @param name field name
	 * @param value field value
	 * @return the copy
	 */
	public HttpRequest withHeader(String name, String value) {
		Map<String, String> all = new LinkedHashMap<>(this.headers);
		all.put(name, value);
		return new HttpRequest(this.method, this.address, this.path, all, this.body, this.timeout, this.connectTimeout,
				this.maxIdle, this.pool);
	}

	/**
	 * Returns a copy with another method.
	 * @param method the request method
	 * @return the copy
	 */
	public HttpRequest withMethod(String method) {
		return new HttpRequest(method, this.address, this.path, this.headers, this.body, this.timeout,
				this.connectTimeout, this.maxIdle, this.pool);
	}

	/**
	 * Returns a copy with another timeout.
	 * @param timeout longest wait for the connection, and separately for the response
	 * head
	 * @return the copy
	 */
	public HttpRequest withTimeout(Duration timeout) {
		return new HttpRequest(this.method, this.address, this.path, this.headers, this.body, timeout, timeout,
				this.maxIdle, this.pool);
	}

	/**
	 * Returns a copy that uses a new connection, which is closed after the response.
	 * @return the copy
	 */
	public HttpRequest withFreshConnection() {
		return withMaxIdle(Duration.ZERO).withPool(NO_POOL);
	}

	boolean isPooled() {
		return !this.pool.equals(NO_POOL);
	}

	/**
	 * Returns a copy with another limit on the idle time of a pooled connection.
	 * @param maxIdle the limit, zero for a new connection
	 * @return the copy
	 */
	public HttpRequest withMaxIdle(Duration maxIdle) {
		return new HttpRequest(this.method, this.address, this.path, this.headers, this.body, this.timeout,
				this.connectTimeout, maxIdle, this.pool);
	}

	/**
	 * Returns a copy with another connect timeout.
	 * @param connectTimeout longest wait for a new connection
	 * @return the copy
	 */
	public HttpRequest withConnectTimeout(Duration connectTimeout) {
		return new HttpRequest(this.method, this.address, this.path, this.headers, this.body, this.timeout,
				connectTimeout, this.maxIdle, this.pool);
	}

	/**
	 * Returns a copy that uses another pool of connections.
	 * @param pool name of the pool
	 * @return the copy
	 */
	public HttpRequest withPool(String pool) {
		return new HttpRequest(this.method, this.address, this.path, this.headers, this.body, this.timeout,
				this.connectTimeout, this.maxIdle, pool);
	}

}
