package org.banyanstile.server.router;

import java.time.Duration;

import org.banyanstile.core.catalog.RegisteredEndpoint;
import org.banyanstile.core.placement.EndpointHealth;
import org.banyanstile.io.http.ConnectFailedException;
import org.banyanstile.io.http.HttpClient;
import org.banyanstile.io.http.HttpException;
import org.banyanstile.io.http.HttpRequest;
import org.banyanstile.io.http.HttpResponse;

/**
 * Passes requests on to endpoints and tells apart what certainly did not run.
 *
 * @author banyanstile contributors
 */
final class EndpointClient {

	private static final int MISDIRECTED = 421;

	private static final int HUNDRED = 100;

	private static final int SUCCESS_CLASS = 2;

	private static final int MAX_REFUSAL_BYTES = 64 * 1024;

	private final HttpClient client;

	private final RequestProtocol protocol;

	private final EndpointHealth health;

	EndpointClient(HttpClient client, RequestProtocol protocol, EndpointHealth health) {
		this.client = client;
		this.protocol = protocol;
		this.health = health;
	}

	/**
	 * Passes a request on and waits for the head of the answer.
	 * @param call the request
	 * @param endpoint where it goes
	 * @param fields what is added
	 * @param maxIdle longest idle time of the connection that is used
	 * @param timeout longest wait for the head
	 * @return the answer of an endpoint that ran the request
	 * @throws NotRunException if the request certainly did not run
	 * @throws UnknownOutcomeException if it may have run
	 */
	HttpResponse send(RouterCall call, RegisteredEndpoint endpoint, EndpointFields fields, Duration maxIdle,
			Duration timeout) throws NotRunException, UnknownOutcomeException {
		HttpRequest request = call.request(endpoint.address(), this.protocol, fields);
		Duration connect = request.connectTimeout();
		long now = System.nanoTime();
		try {
			HttpResponse response = this.client
				.send(request.withTimeout(timeout).withConnectTimeout(connect).withMaxIdle(maxIdle), call.handle());
			return checked(call, endpoint, response, fields.prefillOnly());
		}
		catch (ConnectFailedException ex) {
			if (!call.isOver()) {
				this.health.unreachable(endpoint.id(), now);
			}
			throw NotRunException.notSent(String.valueOf(ex.getMessage()));
		}
		catch (HttpException ex) {
			if (!call.isOver()) {
				this.health.unreachable(endpoint.id(), now);
			}
			throw new UnknownOutcomeException(String.valueOf(ex.getMessage()));
		}
	}

	private HttpResponse checked(RouterCall call, RegisteredEndpoint endpoint, HttpResponse response, boolean ownUse)
			throws NotRunException, UnknownOutcomeException {
		AnswerFields answer = this.protocol.answerFields(response.status(), response::header);
		if (response.status() == MISDIRECTED) {
			this.health.replaced(endpoint.id(), System.nanoTime());
			drain(response);
			throw NotRunException.rejected("another instance answers at " + endpoint.address());
		}
		String id = call.id();
		if (id != null && !id.equals(answer.attemptId())) {
			if (answer.notRun() && answer.attemptId() == null) {
				drain(response);
				throw NotRunException.rejected("refused by " + endpoint.id() + " with " + response.status());
			}
			response.discard();
			response.close();
			throw new UnknownOutcomeException(endpoint.id() + " sent an answer to request " + answer.attemptId());
		}
		if (answer.notRun()) {
			drain(response);
			throw NotRunException.rejected("refused by " + endpoint.id() + " with " + response.status());
		}
		if (!ownUse && !answer.sealed() && response.status() / HUNDRED == SUCCESS_CLASS) {
			response.discard();
			response.close();
			throw new UnknownOutcomeException(endpoint.id() + " sent a success without its seal");
		}
		return response;
	}

	private static void drain(HttpResponse response) {
		try {
			response.setReadTimeout(Duration.ofMillis(100));
			response.bytes(MAX_REFUSAL_BYTES);
		}
		catch (HttpException ex) {
			// A refusal whose body does not end in time only costs its connection.
			response.close();
		}
	}

}
