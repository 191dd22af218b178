package org.banyanstile.core.quarantine;

import java.util.List;

/**
 * Whether a request may be sent to an endpoint.
 *
 * @param refusedNanos 0 if it may be sent, else the time in nanoseconds after which it is
 * worth a retry
 * @param claims claims that have to be acquired before the request is sent, empty if it
 * is no trial
 * @author banyanstile contributors
 */
public record QuarantineDecision(long refusedNanos, List<TrialClaim> claims) {

	static final QuarantineDecision SEND = new QuarantineDecision(0, List.of());

	static QuarantineDecision refuse(long nanos) {
		return new QuarantineDecision(nanos, List.of());
	}

	static QuarantineDecision tryAfter(List<TrialClaim> claims) {
		return new QuarantineDecision(0, claims);
	}

	/**
	 * Returns whether the request is refused.
	 * @return whether it is
	 */
	public boolean isRefused() {
		return this.refusedNanos > 0;
	}

	/**
	 * Returns whether the request is a trial that has to be claimed.
	 * @return whether it is
	 */
	public boolean isTrial() {
		return !this.claims.isEmpty();
	}

}
