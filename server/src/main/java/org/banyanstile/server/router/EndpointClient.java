package org.banyanstile.server.router;

import java.time.Duration;
import java.util.function.Consumer;

import org.banyanstile.core.attempt.ConnectionReuse;
import org.banyanstile.core.attempt.RefusalStatus;
import org.banyanstile.core.catalog.RegisteredEndpoint;
import org.banyanstile.core.limit.EndpointLimits;
import org.banyanstile.core.placement.EndpointHealth;
import org.banyanstile.io.http.ConnectFailedException;
import org.banyanstile.io.http.HttpClient;
import org.banyanstile.io.http.HttpException;
import org.banyanstile.io.http.HttpRequest;
import org.banyanstile.io.http.HttpResponse;
import org.banyanstile.io.http.MalformedResponseException;

/**
 * Forwards requests to endpoints and distinguishes requests that certainly did not run
 * from those that may have run.
 *
 * @author banyanstile contributors
 */
final class EndpointClient {

	private static final int MISDIRECTED = 421;

	private static final int STATUS_CLASS_SIZE = 100;

	private static final int SUCCESS_CLASS = 2;

	private static final int MAX_REFUSAL_BYTES = 64 * 1024;

	private final HttpClient client;

	private final RequestProtocol protocol;

	private final EndpointHealth health;

	private final EndpointLimits limits;

	private final Consumer<RegisteredEndpoint> leaving;

	private final DecisionLog log;

	private final RouterMetrics metrics;

	/**
	 * Creates a client.
	 * @param client client that sends the requests
	 * @param protocol header fields
	 * @param health health of the endpoints
	 * @param limits request limits of the endpoints
	 * @param leaving called with each endpoint that says that it leaves
	 * @param log log of changes
	 * @param metrics metrics
	 */
	EndpointClient(HttpClient client, RequestProtocol protocol, EndpointHealth health, EndpointLimits limits,
			Consumer<RegisteredEndpoint> leaving, DecisionLog log, RouterMetrics metrics) {
		this.client = client;
		this.protocol = protocol;
		this.health = health;
		this.limits = limits;
		this.leaving = leaving;
		this.log = log;
		this.metrics = metrics;
	}

	/**
	 * Forwards a request and waits for the head of the response.
	 * @param call the request
	 * @param endpoint the endpoint
	 * @param fields header fields to add
	 * @param maxIdle maximum idle time of a pooled connection, if the request may use one
	 * @param timeout maximum wait for the head of the response
	 * @return the response of an endpoint that ran the request
	 * @throws NotRunException if the request certainly did not run
	 * @throws UnknownOutcomeException if it may have run
	 */
	HttpResponse send(RouterCall call, RegisteredEndpoint endpoint, EndpointFields fields, Duration maxIdle,
			Duration timeout) throws NotRunException, UnknownOutcomeException {
		HttpRequest request = call.request(endpoint.address(), this.protocol, fields);
		boolean first = call.beginAttempt(endpoint.address(), fields.prefillOnly());
		boolean reuse = ConnectionReuse.isAllowed(call.id() != null, fields.prefillOnly() || call.route().isRetryable(),
				first);
		Duration connectTimeout = request.connectTimeout();
		long now = System.nanoTime();
		try {
			HttpResponse response = this.client.send(request.withTimeout(timeout)
				.withConnectTimeout(connectTimeout)
				.withMaxIdle(reuse ? maxIdle : Duration.ZERO), call.callHandle());
			return checked(call, endpoint, response, fields.prefillOnly());
		}
		catch (ConnectFailedException ex) {
			if (!call.isCancelledOrTimedOut()) {
				this.health.unreachable(endpoint.id(), now);
			}
			throw NotRunException.notSent(String.valueOf(ex.getMessage()));
		}
		catch (HttpException ex) {
			this.metrics.exchangeFailed(endpoint.id(), ex);
			if (!call.isCancelledOrTimedOut()) {
				this.health.unreachable(endpoint.id(), now);
			}
			throw UnknownOutcomeException.of(ex);
		}
	}

	private HttpResponse checked(RouterCall call, RegisteredEndpoint endpoint, HttpResponse response,
			boolean prefillOnly) throws NotRunException, UnknownOutcomeException, MalformedResponseException {
		ResponseFields fields = this.protocol.responseFields(response.status(), response::header);
		boolean refused = fields.notRun() || response.status() == MISDIRECTED;
		if (refused) {
			throw refusal(call, endpoint, response, fields);
		}
		String id = call.id();
		if (id != null && !id.equals(fields.attemptId())) {
			throw foreignResponse(endpoint, response, fields);
		}
		recordNotices(endpoint, fields);
		if (RefusalStatus.isPromise(response.status())) {
			throw discarded(response, endpoint.id() + " responded with " + response.status()
					+ " and did not say that the request has not run");
		}
		if (!prefillOnly && !fields.sealed() && response.status() / STATUS_CLASS_SIZE == SUCCESS_CLASS) {
			throw discarded(response, endpoint.id() + " sent a successful response without its seal");
		}
		return response;
	}

	// Returns the proof that the request did not run.
	// @throws UnknownOutcomeException if the response may belong to another request
	private NotRunException refusal(RouterCall call, RegisteredEndpoint endpoint, HttpResponse response,
			ResponseFields fields) throws UnknownOutcomeException, MalformedResponseException {
		Refusal refusal = new Refusal(response.status(), call.id(), fields.attemptId(), response.exchangeNumber());
		if (!refusal.isProof()) {
			throw foreignResponse(endpoint, response, fields);
		}
		if (response.status() == MISDIRECTED) {
			drainRefusal(response);
			this.health.replaced(endpoint.id(), System.nanoTime());
			return NotRunException.refused("another instance responds at " + endpoint.address(), refusal);
		}
		recordNotices(endpoint, fields);
		drainRefusal(response);
		return NotRunException.refused("refused by " + endpoint.id() + " with " + response.status(), refusal);
	}

	private static UnknownOutcomeException foreignResponse(RegisteredEndpoint endpoint, HttpResponse response,
			ResponseFields fields) {
		String id = fields.attemptId();
		return discarded(response,
				endpoint.id() + " sent a response " + ((id != null) ? "to request " + id : "without an id"));
	}

	private static UnknownOutcomeException discarded(HttpResponse response, String reason) {
		response.discard();
		response.close();
		return new UnknownOutcomeException(reason);
	}

	// Records what an endpoint says of itself, in a response that is bound to its
	// request.
	private void recordNotices(RegisteredEndpoint endpoint, ResponseFields fields) {
		if (fields.leaving()) {
			this.leaving.accept(endpoint);
		}
		if (fields.waitMillis() > 0 && this.health.askedToWait(endpoint.id(), fields.waitMillis(), System.nanoTime())) {
			this.log.stateChange("endpoint", "endpoint", endpoint.id(), "service", endpoint.service(), "waitMillis",
					fields.waitMillis());
		}
		double perSecond = fields.requestsPerSecond();
		if (this.limits.named(endpoint.id(), perSecond, System.nanoTime())) {
			this.log.stateChange("request limit", "endpoint", endpoint.id(), "service", endpoint.service(), "perSecond",
					(perSecond >= 0) ? perSecond : "none");
		}
	}

	// @throws MalformedResponseException if the refusal proves nothing
	private static void drainRefusal(HttpResponse response) throws MalformedResponseException {
		try {
			response.setReadTimeout(Duration.ofMillis(100));
			response.drain(MAX_REFUSAL_BYTES);
		}
		catch (MalformedResponseException ex) {
			throw ex;
		}
		catch (HttpException ex) {
			// If the body of a refusal does not end in time, the connection is not
			// reused.
			response.close();
		}
	}

}
