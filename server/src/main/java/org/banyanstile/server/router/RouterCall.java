package org.banyanstile.server.router;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import org.banyanstile.core.catalog.ServedRoute;
import org.banyanstile.core.catalog.TeamPolicy;
import org.banyanstile.io.http.CallHandle;
import org.banyanstile.io.http.HttpRequest;
import org.banyanstile.server.caller.CallerConnection;
import org.jspecify.annotations.Nullable;

/**
 * A request of a caller while it is served.
 *
 * @author banyanstile contributors
 */
final class RouterCall {

	/**
	 * Part of a route's time limit below which a caller's deadline is that of a later
	 * attempt. First attempts leave at least four fifths of it.
	 */
	private static final double RETURNING_PART = 0.8;

	private static final long NANOS_PER_MILLI = 1_000_000;

	/**
	 * Longest wait for a connection to an endpoint. Endpoints are at most some
	 * milliseconds away, so one that does not accept by then is down or cut off.
	 */
	private static final long CONNECT_MILLIS = 400;

	private final HttpServerExchange exchange;

	private final CallerConnection connection;

	private final CallerFields fields;

	private final ServedRoute route;

	private final String service;

	private final @Nullable TeamPolicy team;

	private final byte[] body;

	private final long arrived;

	private final CallHandle handle = new CallHandle();

	private final CallerResponse response;

	private volatile boolean callerGone;

	private volatile boolean timedOut;

	RouterCall(HttpServerExchange exchange, CallerConnection connection, CallerFields fields, ServedRoute route,
			String service, @Nullable TeamPolicy team, byte[] body, long arrived, CallerResponse response) {
		this.exchange = exchange;
		this.connection = connection;
		this.fields = fields;
		this.route = route;
		this.service = service;
		this.team = team;
		this.body = body;
		this.arrived = arrived;
		this.response = response;
	}

	CallerFields fields() {
		return this.fields;
	}

	ServedRoute route() {
		return this.route;
	}

	String service() {
		return this.service;
	}

	@Nullable
	String id() {
		return this.fields.attemptId();
	}

	@Nullable
	String team() {
		return (this.team != null) ? this.team.name() : null;
	}

	int priority() {
		boolean own = this.team != null && this.team.priority() != TeamPolicy.NO_PRIORITY;
		return (own && this.team != null) ? this.team.priority() : this.route.priority();
	}

	CallHandle handle() {
		return this.handle;
	}

	CallerResponse response() {
		return this.response;
	}

	/**
	 * Returns how long the request has been here.
	 * @return the time in milliseconds
	 */
	long ageMillis() {
		return (System.nanoTime() - this.arrived) / NANOS_PER_MILLI;
	}

	/**
	 * Returns the time that is left until the caller's deadline or the route's time
	 * limit.
	 * @return the time in milliseconds, not below 0
	 */
	long leftMillis() {
		return Math.max(0, limitMillis() - ageMillis());
	}

	/**
	 * Returns whether the caller has used up so much of its time that this is a later
	 * attempt, whose objective has passed.
	 * @return whether it is
	 */
	boolean isReturning() {
		long deadline = this.fields.deadlineMillis();
		return deadline >= 0 && deadline < RETURNING_PART * this.route.timeoutMillis();
	}

	long limitMillis() {
		long limit = this.route.timeoutMillis();
		return (this.fields.deadlineMillis() >= 0) ? Math.min(limit, this.fields.deadlineMillis()) : limit;
	}

	/**
	 * Returns how long an endpoint may work. The caller's deadline counts, and the
	 * route's time limit where the caller gave none.
	 * @return the time in milliseconds, at least 1
	 */
	long endpointMillis() {
		return Math.max(1, leftMillis());
	}

	/**
	 * Ends the call if its caller has gone or its time is over. Called by the watch.
	 */
	void check() {
		if (this.connection.isClosed()) {
			this.callerGone = true;
			this.handle.cancel();
		}
		else if (leftMillis() == 0) {
			this.timedOut = true;
			this.handle.cancel();
		}
	}

	boolean isCallerGone() {
		return this.callerGone;
	}

	boolean isOver() {
		return this.callerGone || this.timedOut || leftMillis() == 0;
	}

	/**
	 * Creates the request to an endpoint: method, target, body and header fields as the
	 * caller sent them, and what the router adds.
	 * @param address address of the endpoint
	 * @param protocol names of the header fields
	 * @param added what the router adds
	 * @return the request
	 */
	HttpRequest request(String address, RequestProtocol protocol, EndpointFields added) {
		Map<String, String> headers = new LinkedHashMap<>();
		for (HeaderValues values : this.exchange.getRequestHeaders()) {
			String name = values.getHeaderName().toString();
			if (protocol.isPassedOn(name)) {
				headers.put(name, String.join(", ", values));
			}
		}
		headers.putAll(protocol.endpointFields(added));
		return new HttpRequest(this.exchange.getRequestMethod().toString(), address, target(this.exchange), headers,
				this.body, Duration.ofMillis(endpointMillis()),
				Duration.ofMillis(Math.min(CONNECT_MILLIS, endpointMillis())), HttpRequest.DEFAULT_MAX_IDLE,
				"requests");
	}

	/**
	 * Returns the request target as the caller sent it.
	 * @param exchange the exchange
	 * @return path and query, byte for byte
	 */
	static String target(HttpServerExchange exchange) {
		String query = exchange.getQueryString();
		return query.isEmpty() ? exchange.getRequestURI() : exchange.getRequestURI() + '?' + query;
	}

}
