package org.banyanstile.server.router;

import org.banyanstile.core.catalog.RegisteredEndpoint;

/**
 * Counts the attempts of one call that reached an endpoint and those that ran or may have
 * run, and decides whether the call may be retried.
 *
 * @author banyanstile contributors
 */
final class CallAttempts {

	private final RouterServices services;

	private final RouterCall call;

	private final ResendLog resends;

	private int runs;

	private int arrivals;

	CallAttempts(RouterServices services, RouterCall call) {
		this.services = services;
		this.call = call;
		this.resends = ResendLog.create(services.log(), call.id(), "request", call.route().isRetryable(),
				call::ageMillis);
	}

	/**
	 * Logs a resend if an earlier attempt is over. Called before each attempt.
	 * @param endpoint the endpoint that gets the attempt
	 */
	void beginAttempt(RegisteredEndpoint endpoint) {
		this.resends.begin(endpoint.id());
		this.services.recordRequest(endpoint);
	}

	/**
	 * Records that an endpoint ran the call and responded.
	 */
	void recordRun() {
		this.runs++;
		this.arrivals++;
	}

	/**
	 * Records an attempt that did not run.
	 * @param endpoint the endpoint
	 * @param outcome why it did not run, and whether it reached the endpoint
	 */
	void recordNotRun(RegisteredEndpoint endpoint, NotRunException outcome) {
		this.arrivals += outcome.hasReachedEndpoint() ? 1 : 0;
		this.resends.end(endpoint.id(), outcome.proof());
		log(endpoint, "not run", String.valueOf(outcome.getMessage()));
	}

	/**
	 * Records an attempt that may have run.
	 * @param endpoint the endpoint
	 * @param outcome what went wrong
	 */
	void recordUnknownOutcome(RegisteredEndpoint endpoint, UnknownOutcomeException outcome) {
		recordRun();
		this.resends.end(endpoint.id(), "none, it may have run: " + outcome.getMessage());
		log(endpoint, "unknown", String.valueOf(outcome.getMessage()));
	}

	/**
	 * Returns whether an attempt reached an endpoint, so that the next one counts as a
	 * retry.
	 * @return whether one did
	 */
	boolean hasReachedEndpoint() {
		return this.arrivals > 0;
	}

	boolean hasRun() {
		return this.runs > 0;
	}

	/**
	 * Takes a retry from the retry budget if the next attempt counts as one.
	 * @return whether the attempt is allowed
	 */
	boolean tryAcquireAttempt() {
		return !hasReachedEndpoint() || this.services.tryAcquireRetry(this.call.service());
	}

	/**
	 * Returns whether the call may be retried after an attempt that ran.
	 * @return whether it may
	 */
	boolean mayRetryAfterRun() {
		return this.call.route().isRetryable() && this.runs < this.call.route().maxAttempts()
				&& !this.call.isCancelledOrTimedOut();
	}

	/**
	 * Returns whether the call could be retried if the attempt that is about to begin
	 * runs and fails.
	 * @return whether it could
	 */
	boolean mayRetryAfterNextRun() {
		return this.call.route().isRetryable() && this.runs + 1 < this.call.route().maxAttempts();
	}

	/**
	 * Returns the rejection of a call that got no response.
	 * @param reason why the last attempt failed
	 * @param retryAfterSeconds time after which the caller may retry if the call has not
	 * run
	 * @return the rejection, which says that the call has not run only if that is certain
	 */
	RejectionException rejection(String reason, double retryAfterSeconds) {
		if (this.call.isCancelledForExit()) {
			return hasRun() ? RejectionException.unknownOutcome(RejectionException.SHUTTING_DOWN)
					: RejectionException.shuttingDown();
		}
		if (!hasRun()) {
			return RejectionException.notRun(reason, retryAfterSeconds);
		}
		return this.call.isCancelledOrTimedOut() ? RejectionException.timedOut()
				: RejectionException.unknownOutcome(reason);
	}

	/**
	 * Logs and counts the outcome of an attempt.
	 * @param endpoint the endpoint
	 * @param outcome kind of the outcome, also a metric label
	 * @param reason details of the outcome, may be empty
	 */
	void log(RegisteredEndpoint endpoint, String outcome, String reason) {
		this.services.metrics().attemptOutcome(outcome);
		this.services.log()
			.request("attempt", this.call.id(), "endpoint", endpoint.id(), "version", endpoint.version(), "service",
					this.call.service(), "run", this.runs, "outcome", outcome, "reason", reason, "ageMillis",
					this.call.ageMillis());
	}

	/**
	 * Logs and counts a stream that broke.
	 * @param endpoint the endpoint
	 * @param reason why it broke
	 * @param events number of events of this attempt that had arrived
	 */
	void logBrokenStream(RegisteredEndpoint endpoint, String reason, int events) {
		log(endpoint, (events == 0) ? "broken before an event" : "broken", reason);
	}

}
