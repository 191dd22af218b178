package org.banyanstile.server.router;

import org.banyanstile.core.catalog.RegisteredEndpoint;

/**
 * Attempts of one call: which of them arrived at an endpoint, which ran or may have run,
 * and whether the call may be tried again.
 *
 * @author banyanstile contributors
 */
final class CallAttempts {

	private final RouterServices services;

	private final RouterCall call;

	private int runs;

	private int arrivals;

	CallAttempts(RouterServices services, RouterCall call) {
		this.services = services;
		this.call = call;
	}

	/**
	 * Notes that an endpoint ran the call and answered.
	 */
	void ran() {
		this.runs++;
		this.arrivals++;
	}

	/**
	 * Notes an attempt that has not run.
	 * @param endpoint the endpoint
	 * @param outcome why, and whether it arrived
	 */
	void notRun(RegisteredEndpoint endpoint, NotRunException outcome) {
		this.arrivals += outcome.hasArrived() ? 1 : 0;
		log(endpoint, "not run", String.valueOf(outcome.getMessage()));
	}

	/**
	 * Notes an attempt that may have run.
	 * @param endpoint the endpoint
	 * @param outcome what went wrong
	 */
	void unknown(RegisteredEndpoint endpoint, UnknownOutcomeException outcome) {
		ran();
		log(endpoint, "unknown", String.valueOf(outcome.getMessage()));
	}

	/**
	 * Returns whether an attempt arrived at an endpoint, so that a further one is a
	 * repeat.
	 * @return whether one did
	 */
	boolean hasArrived() {
		return this.arrivals > 0;
	}

	boolean hasRun() {
		return this.runs > 0;
	}

	/**
	 * Takes what a further attempt needs from the retry budget.
	 * @return whether the attempt is allowed
	 */
	boolean tryNext() {
		return !hasArrived() || this.services.tryRepeat(this.call.service());
	}

	/**
	 * Returns whether the call may run once more after an attempt that ran.
	 * @return whether it may
	 */
	boolean mayRunAgain() {
		return this.call.route().isRepeatable() && this.runs < this.call.route().maxAttempts() && !this.call.isOver();
	}

	/**
	 * Returns whether a further run would be allowed after the one that is about to
	 * begin.
	 * @return whether it would
	 */
	boolean hasReserve() {
		return this.call.route().isRepeatable() && this.runs + 1 < this.call.route().maxAttempts();
	}

	/**
	 * Returns the refusal of a call that has no answer.
	 * @param reason why the last attempt failed
	 * @param retrySeconds time after which the caller may return if the call has not run
	 * @return the refusal, which says that the call has not run only if that is certain
	 */
	RefusalException refusal(String reason, double retrySeconds) {
		if (!hasRun()) {
			return RefusalException.notRun(reason, retrySeconds);
		}
		return this.call.isOver() ? RefusalException.timedOut() : RefusalException.unknown(reason);
	}

	/**
	 * Logs and counts the outcome of an attempt.
	 * @param endpoint the endpoint
	 * @param outcome class of the outcome
	 * @param reason what decided it, may be empty
	 */
	void log(RegisteredEndpoint endpoint, String outcome, String reason) {
		this.services.metrics().outcome(outcome);
		this.services.log()
			.request("attempt", this.call.id(), "endpoint", endpoint.id(), "service", this.call.service(), "run",
					this.runs, "outcome", outcome, "reason", reason, "ageMillis", this.call.ageMillis());
	}

}
