package org.banyanstile.server.caller;

import java.nio.charset.StandardCharsets;
import java.util.Objects;

import org.banyanstile.server.endpoint.EndpointBrokenException;
import org.banyanstile.server.endpoint.EndpointUnreachableException;
import org.banyanstile.server.endpoint.ServiceCall;
import org.banyanstile.server.endpoint.ServiceResponse;

/**
 * Sends one call to endpoints of a plain service. Used by one thread.
 *
 * @author banyanstile contributors
 */
final class ServiceDispatch {

	private static final int MAX_ATTEMPTS = 3;

	private static final long RETRY_MILLIS = 100;

	private final RequestServices services;

	private final SlotFinder finder;

	private final ServiceCall call;

	private final String requestId;

	private final long waitMillis;

	private final RequestLabels labels;

	ServiceDispatch(RequestServices services, SlotFinder finder, ServiceCall call, String requestId, long waitMillis,
			RequestLabels labels) {
		this.services = services;
		this.finder = finder;
		this.call = call;
		this.requestId = requestId;
		this.waitMillis = waitMillis;
		this.labels = labels;
	}

	/**
	 * Returns the hash of method, path and body.
	 * @return the hash in hexadecimal
	 */
	String hash() {
		return Hashes.sha256(this.call.method().getBytes(StandardCharsets.UTF_8),
				this.call.path().getBytes(StandardCharsets.UTF_8), this.call.body());
	}

	/**
	 * Sends a call that must not be repeated. Only a refused connection lets it go to
	 * another endpoint.
	 * @return the outcome
	 */
	CallOutcome once() {
		boolean refused = false;
		while (true) {
			SlotDecision.Granted slot;
			try {
				slot = slot();
			}
			catch (RequestException ex) {
				return new CallOutcome.NotRun(refused ? NotRunReason.NO_ENDPOINT : NotRunReason.OVERLOADED);
			}
			if (!this.services.serving().mayServe()) {
				this.services.slots().release(slot, SlotOutcome.CANCELLED);
				return new CallOutcome.NotRun(NotRunReason.NOT_SERVING);
			}
			try {
				return outcome(send(slot));
			}
			catch (EndpointUnreachableException ex) {
				refused = true;
				this.finder.exclude(slot.endpoint().id());
			}
			catch (EndpointBrokenException ex) {
				return new CallOutcome.OutcomeUnknown();
			}
		}
	}

	private static CallOutcome outcome(ServiceResponse answer) {
		StoredAnswer stored = stored(answer);
		if (answer.status() < 400) {
			return new CallOutcome.Answered(stored);
		}
		// A server error other than "overloaded or cold" can follow a call that has run.
		return (answer.status() < 500 || answer.status() == 503) ? new CallOutcome.RefusedByEndpoint(stored)
				: new CallOutcome.OutcomeUnknown();
	}

	/**
	 * Sends a call that may be repeated, within the retry budget.
	 * @return the answer
	 * @throws RequestException if no endpoint answered or one refused
	 */
	StoredAnswer repeatable() throws RequestException {
		this.services.retries().requestStarted();
		boolean mayHaveRun = false;
		RequestException failure = null;
		for (int attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
			if (failure != null && !this.services.retries().tryRetry()) {
				break;
			}
			try {
				return attempt();
			}
			catch (RequestException ex) {
				failure = mayHaveRun ? ex.afterAttempt() : ex;
				mayHaveRun |= ex.run() == RunState.UNKNOWN;
				if (!isRetryable(ex)) {
					break;
				}
			}
			this.services.metrics().retried(this.labels);
		}
		throw Objects.requireNonNull(failure);
	}

	private static boolean isRetryable(RequestException ex) {
		boolean server = ex.run() == RunState.REFUSED_BY_ENDPOINT && (ex.status() == 429 || ex.status() >= 500);
		return server || ex.type() == ErrorType.OUTCOME_UNKNOWN || ex.type() == ErrorType.OVERLOADED;
	}

	private StoredAnswer attempt() throws RequestException {
		SlotDecision.Granted slot = slot();
		try {
			ServiceResponse answer = send(slot);
			if (answer.status() < 400) {
				return stored(answer);
			}
			this.finder.exclude(slot.endpoint().id());
			throw OnceOutcomes.refused(stored(answer));
		}
		catch (EndpointUnreachableException ex) {
			this.finder.exclude(slot.endpoint().id());
			throw RequestException.notRun(ErrorType.OVERLOADED, "no endpoint accepted a connection", RETRY_MILLIS);
		}
		catch (EndpointBrokenException ex) {
			this.finder.exclude(slot.endpoint().id());
			throw RequestException.unknown(ErrorType.OUTCOME_UNKNOWN, "the endpoint did not answer", RETRY_MILLIS);
		}
	}

	private SlotDecision.Granted slot() throws RequestException {
		return this.finder.find(PoolRole.SERVICE, this.services.dataCentre(), this.requestId, this.waitMillis);
	}

	private ServiceResponse send(SlotDecision.Granted slot)
			throws EndpointUnreachableException, EndpointBrokenException {
		SlotOutcome outcome = SlotOutcome.BROKEN;
		try {
			ServiceResponse answer = this.services.service().call(slot.endpoint().address(), this.call);
			outcome = (answer.status() < 500) ? SlotOutcome.COMPLETED : SlotOutcome.FAILED;
			return answer;
		}
		catch (EndpointUnreachableException ex) {
			outcome = SlotOutcome.FAILED;
			throw ex;
		}
		finally {
			this.services.slots().release(slot, outcome);
		}
	}

	private static StoredAnswer stored(ServiceResponse answer) {
		return new StoredAnswer(answer.status(), answer.contentType(),
				new String(answer.body(), StandardCharsets.UTF_8));
	}

}
