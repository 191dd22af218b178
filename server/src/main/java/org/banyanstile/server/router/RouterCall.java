package org.banyanstile.server.router;

import java.time.Duration;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import org.banyanstile.core.catalog.ServedRoute;
import org.banyanstile.core.catalog.TeamPolicy;
import org.banyanstile.io.http.CallHandle;
import org.banyanstile.io.http.HttpRequest;
import org.banyanstile.server.caller.CallerConnection;
import org.banyanstile.server.canary.VersionAssignment;
import org.jspecify.annotations.Nullable;

/**
 * Request of a caller that is being served.
 *
 * @author banyanstile contributors
 */
final class RouterCall {

	/**
	 * A caller's deadline below this fraction of the route's time limit is that of a
	 * retry by the caller. The deadline of a first attempt is at least four fifths of the
	 * time limit.
	 */
	private static final double FIRST_ATTEMPT_DEADLINE_RATIO = 0.8;

	private static final long NANOS_PER_MILLI = 1_000_000;

	/**
	 * Network latency to endpoints is a few milliseconds at most, so an endpoint that
	 * does not accept a connection within this time is down or unreachable.
	 */
	private static final long CONNECT_TIMEOUT_MILLIS = 400;

	private final HttpServerExchange exchange;

	private final CallerConnection connection;

	private final CallerFields fields;

	private final ServedRoute route;

	private final String service;

	private final VersionAssignment versions;

	private final @Nullable TeamPolicy team;

	private final byte[] body;

	private final long arrivalNanos;

	private final CallHandle callHandle = new CallHandle();

	private final CallerResponse response;

	private final Set<String> addresses = new HashSet<>();

	private boolean prefillSent;

	private boolean requestSent;

	private volatile boolean callerDisconnected;

	private volatile boolean timedOut;

	private volatile boolean vmStopping;

	RouterCall(HttpServerExchange exchange, CallerConnection connection, CallerFields fields, ServedRoute route,
			String service, VersionAssignment versions, @Nullable TeamPolicy team, byte[] body, long arrivalNanos,
			CallerResponse response) {
		this.exchange = exchange;
		this.connection = connection;
		this.fields = fields;
		this.route = route;
		this.service = service;
		this.versions = versions;
		this.team = team;
		this.body = body;
		this.arrivalNanos = arrivalNanos;
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

	VersionAssignment versions() {
		return this.versions;
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
		boolean teamPriority = this.team != null && this.team.priority() != TeamPolicy.NO_PRIORITY;
		return (teamPriority && this.team != null) ? this.team.priority() : this.route.priority();
	}

	CallHandle callHandle() {
		return this.callHandle;
	}

	CallerResponse response() {
		return this.response;
	}

	byte[] body() {
		return this.body;
	}

	/**
	 * Records an attempt. Used by the thread that serves the request.
	 * @param address address of the endpoint
	 * @param prefill whether the endpoint only prefills the prompt
	 * @return whether it is the first attempt of its stage, and the first one of the
	 * request at the address
	 */
	boolean beginAttempt(String address, boolean prefill) {
		boolean repeated = prefill ? this.prefillSent : this.requestSent;
		this.prefillSent |= prefill;
		this.requestSent |= !prefill;
		return this.addresses.add(address) && !repeated;
	}

	/**
	 * Returns whether an attempt was or may have been sent to any address. Used by the
	 * thread that serves the request.
	 * @return whether one may have been
	 */
	boolean isSent() {
		return !this.addresses.isEmpty();
	}

	/**
	 * Returns the request target as the caller sent it.
	 * @return path and query, byte for byte
	 */
	String target() {
		return target(this.exchange);
	}

	/**
	 * Returns the time since the request arrived.
	 * @return the time in milliseconds
	 */
	long ageMillis() {
		return (System.nanoTime() - this.arrivalNanos) / NANOS_PER_MILLI;
	}

	/**
	 * Returns the time that remains until the caller's deadline or the route's time
	 * limit, whichever comes first.
	 * @return the time in milliseconds, not below 0
	 */
	long remainingMillis() {
		return Math.max(0, timeoutMillis() - ageMillis());
	}

	/**
	 * Returns whether the caller's deadline is so short that this is a retry by the
	 * caller, for which the objective has already passed.
	 * @return whether it is
	 */
	boolean isCallerRetry() {
		long deadline = this.fields.deadlineMillis();
		return deadline >= 0 && deadline < FIRST_ATTEMPT_DEADLINE_RATIO * this.route.timeoutMillis();
	}

	long timeoutMillis() {
		long timeout = this.route.timeoutMillis();
		return (this.fields.deadlineMillis() >= 0) ? Math.min(timeout, this.fields.deadlineMillis()) : timeout;
	}

	/**
	 * Returns how long an endpoint may work on the request: until the caller's deadline
	 * or the route's time limit, whichever comes first.
	 * @return the time in milliseconds, at least 1
	 */
	long endpointTimeoutMillis() {
		return Math.max(1, remainingMillis());
	}

	/**
	 * Cancels the call if its caller has disconnected or its time limit has passed.
	 * Called periodically.
	 */
	void cancelIfEnded() {
		if (this.connection.isClosed()) {
			this.callerDisconnected = true;
			this.callHandle.cancel();
		}
		else if (remainingMillis() == 0) {
			this.timedOut = true;
			this.callHandle.cancel();
		}
	}

	/**
	 * Cancels the call because this VM exits.
	 */
	void cancelForExit() {
		this.vmStopping = true;
		this.callHandle.cancel();
	}

	boolean isCallerDisconnected() {
		return this.callerDisconnected;
	}

	boolean isCancelledForExit() {
		return this.vmStopping;
	}

	boolean isCancelledOrTimedOut() {
		return this.callerDisconnected || this.timedOut || this.vmStopping || remainingMillis() == 0;
	}

	/**
	 * Creates the request to an endpoint from the caller's method, target, body and
	 * forwarded header fields, and the fields that the router adds.
	 * @param address address of the endpoint
	 * @param protocol names of the header fields
	 * @param fields fields that the router adds
	 * @return the request
	 */
	HttpRequest request(String address, RequestProtocol protocol, EndpointFields fields) {
		Map<String, String> headers = new LinkedHashMap<>();
		for (HeaderValues values : this.exchange.getRequestHeaders()) {
			String name = values.getHeaderName().toString();
			if (protocol.isForwardedToEndpoint(name)) {
				headers.put(name, String.join(", ", values));
			}
		}
		headers.putAll(protocol.endpointFields(fields));
		return new HttpRequest(this.exchange.getRequestMethod().toString(), address, target(this.exchange), headers,
				this.body, Duration.ofMillis(endpointTimeoutMillis()),
				Duration.ofMillis(Math.min(CONNECT_TIMEOUT_MILLIS, endpointTimeoutMillis())),
				HttpRequest.DEFAULT_MAX_IDLE, "requests");
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
