package org.banyanstile.server.caller;

import java.nio.charset.StandardCharsets;
import java.util.Objects;

import org.banyanstile.core.attempt.RefusalStatus;
import org.banyanstile.server.endpoint.EndpointBrokenException;
import org.banyanstile.server.endpoint.EndpointUnreachableException;
import org.banyanstile.server.endpoint.ServiceCall;
import org.banyanstile.server.endpoint.ServiceResponse;
import org.banyanstile.server.router.ResendLog;

/**
 * Sends one call to the endpoints of a plain service. Used by one thread.
 *
 * @author banyanstile contributors
 */
final class ServiceDispatch {

	private static final int MAX_ATTEMPTS = 3;

	private static final long RETRY_AFTER_MILLIS = 100;

	private final RequestServices services;

	private final SlotFinder finder;

	private final ServiceCall call;

	private final String requestId;

	private final long waitMillis;

	private final RequestLabels labels;

	private final ResendLog resends;

	ServiceDispatch(RequestServices services, SlotFinder finder, ServiceCall call, String requestId, long waitMillis,
			RequestLabels labels, ResendLog resends) {
		this.services = services;
		this.finder = finder;
		this.call = call;
		this.requestId = requestId;
		this.waitMillis = waitMillis;
		this.labels = labels;
		this.resends = resends;
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
	 * Sends a call that must run at most once. It is sent to another endpoint only after
	 * a refused connection.
	 * @return the outcome
	 */
	CallOutcome sendOnce() {
		boolean connectionRefused = false;
		while (true) {
			SlotDecision.Granted slot;
			try {
				slot = acquireSlot();
			}
			catch (RequestException ex) {
				return new CallOutcome.NotRun(connectionRefused ? NotRunReason.NO_ENDPOINT : NotRunReason.OVERLOADED);
			}
			if (!this.services.serving().mayServe()) {
				this.services.slots().release(slot, SlotOutcome.CANCELLED);
				return new CallOutcome.NotRun(NotRunReason.NOT_SERVING);
			}
			try {
				return outcome(send(slot));
			}
			catch (EndpointUnreachableException ex) {
				connectionRefused = true;
				this.finder.exclude(slot.endpoint().id());
			}
			catch (EndpointBrokenException ex) {
				return new CallOutcome.OutcomeUnknown();
			}
		}
	}

	private static CallOutcome outcome(ServiceResponse response) {
		StoredAnswer stored = stored(response);
		if (response.status() < 400) {
			return new CallOutcome.Answered(stored);
		}
		return RefusalStatus.isProof(response.status()) ? new CallOutcome.RefusedByEndpoint(stored)
				: new CallOutcome.OutcomeUnknown();
	}

	/**
	 * Sends a call that may run more than once, with retries within the retry budget.
	 * @return the response
	 * @throws RequestException if no attempt succeeded
	 */
	StoredAnswer sendWithRetries() throws RequestException {
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
		boolean serverRefusal = ex.type() == ErrorType.ENDPOINT_REFUSED && (ex.status() == 429 || ex.status() >= 500);
		return serverRefusal || ex.type() == ErrorType.OUTCOME_UNKNOWN || ex.type() == ErrorType.OVERLOADED;
	}

	private StoredAnswer attempt() throws RequestException {
		SlotDecision.Granted slot = acquireSlot();
		try {
			ServiceResponse response = send(slot);
			if (response.status() < 400) {
				return stored(response);
			}
			this.finder.exclude(slot.endpoint().id());
			RequestException refusal = OnceOnlyOutcomes.refused(stored(response));
			throw RefusalStatus.isProof(response.status()) ? refusal : refusal.afterAttempt();
		}
		catch (EndpointUnreachableException ex) {
			this.finder.exclude(slot.endpoint().id());
			throw RequestException.notRun(ErrorType.OVERLOADED, "no endpoint accepted a connection",
					RETRY_AFTER_MILLIS);
		}
		catch (EndpointBrokenException ex) {
			this.finder.exclude(slot.endpoint().id());
			throw RequestException.unknown(ErrorType.OUTCOME_UNKNOWN, "no complete response from the endpoint",
					RETRY_AFTER_MILLIS);
		}
	}

	private SlotDecision.Granted acquireSlot() throws RequestException {
		return this.finder.find(PoolRole.SERVICE, this.services.dataCentre(), this.requestId, this.waitMillis);
	}

	private ServiceResponse send(SlotDecision.Granted slot)
			throws EndpointUnreachableException, EndpointBrokenException {
		SlotOutcome outcome = SlotOutcome.BROKEN;
		String endpoint = slot.endpoint().id().name();
		this.resends.begin(endpoint);
		try {
			ServiceResponse response = this.services.service().call(slot.endpoint().address(), this.call);
			this.resends.end(endpoint, proof(response.status()));
			outcome = (response.status() < 500) ? SlotOutcome.COMPLETED : SlotOutcome.FAILED;
			return response;
		}
		catch (EndpointUnreachableException ex) {
			this.resends.end(endpoint, ex.proof());
			outcome = SlotOutcome.FAILED;
			throw ex;
		}
		catch (EndpointBrokenException ex) {
			this.resends.end(endpoint, ex.proof());
			throw ex;
		}
		finally {
			this.services.slots().release(slot, outcome);
		}
	}

	private static String proof(int status) {
		return RefusalStatus.isProof(status) ? "refused with " + status
				: "none, it may have run: the service responded with " + status;
	}

	private static StoredAnswer stored(ServiceResponse response) {
		return new StoredAnswer(response.status(), response.contentType(),
				new String(response.body(), StandardCharsets.UTF_8));
	}

}
