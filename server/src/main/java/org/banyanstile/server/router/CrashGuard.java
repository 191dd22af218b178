package org.banyanstile.server.router;

import java.util.HexFormat;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import org.banyanstile.core.catalog.RegisteredEndpoint;
import org.jspecify.annotations.Nullable;

/**
 * Keeps one request from endpoints if requests like it crash them, and reports what
 * happens to it at endpoints to the quarantine of this VM.
 *
 * @author banyanstile contributors
 */
final class CrashGuard implements AutoCloseable {

	private static final double NANOS_PER_SECOND = 1e9;

	private final RouterServices services;

	private final RouterCall call;

	private @Nullable Set<Long> traits;

	private boolean answered;

	private boolean onTrial;

	CrashGuard(RouterServices services, RouterCall call) {
		this.services = services;
		this.call = call;
	}

	private Set<Long> traits() {
		Set<Long> known = this.traits;
		if (known == null) {
			known = RequestTraits.of(this.call);
			this.traits = known;
		}
		return known;
	}

	/**
	 * Returns for how long the request may not be sent to an endpoint.
	 * @return the time in seconds after which it is worth a retry, 0 if it may be sent
	 */
	double refusedSeconds() {
		if (this.answered || this.services.quarantine().isEmpty()) {
			return 0;
		}
		long nanos = this.services.quarantine()
			.refusedNanos(this.call, traits(), this.services.vmCount(), System.nanoTime());
		if (nanos <= 0) {
			logTrial();
		}
		return nanos / NANOS_PER_SECOND;
	}

	private void logTrial() {
		List<Long> trials = this.onTrial ? List.of() : this.services.quarantine().trials(this.call);
		if (trials.isEmpty()) {
			return;
		}
		this.onTrial = true;
		this.services.log()
			.stateChange("trial", "request", this.call.id(), "traits",
					trials.stream().map(HexFormat.of()::toHexDigits).collect(Collectors.joining(" ")));
	}

	private void logTrialEnd(String outcome) {
		if (this.onTrial) {
			this.onTrial = false;
			this.services.log().stateChange("trial ended", "request", this.call.id(), "outcome", outcome);
		}
	}

	boolean isRefused() {
		return refusedSeconds() > 0;
	}

	/**
	 * Returns the rejection of a request that may not be sent to an endpoint.
	 * @param attempts earlier attempts of the request
	 * @param retryAfterSeconds time after which it is worth a retry
	 * @return the rejection
	 */
	RejectionException rejection(CallAttempts attempts, double retryAfterSeconds) {
		this.services.metrics().quarantineRefusal();
		return attempts.rejection("requests that share a trait with this one crash endpoints", retryAfterSeconds);
	}

	/**
	 * Records that the connection to an endpoint broke while the request was there. If
	 * the request had been answered before, it is not the cause.
	 * @param endpoint the endpoint
	 */
	void connectionBroken(RegisteredEndpoint endpoint) {
		if (this.answered || this.call.isCancelledOrTimedOut()) {
			return;
		}
		for (long trait : this.services.quarantine()
			.crashed(this.call, traits(), RequestTraits.incarnation(endpoint), System.nanoTime())) {
			this.services.log()
				.stateChange("quarantined", "trait", HexFormat.of().toHexDigits(trait), "endpoint", endpoint.id(),
						"request", this.call.id());
		}
		logTrialEnd("crash of " + endpoint.id());
	}

	/**
	 * Records that an endpoint answered the request or began to do so.
	 */
	void answered() {
		if (this.answered) {
			return;
		}
		this.answered = true;
		logTrialEnd("answer");
		// Answered prompt parts are remembered; a whole request matters only as a
		// suspect.
		if (!this.call.fields().sharedParts().isEmpty() || !this.services.quarantine().isEmpty()) {
			this.services.quarantine().answered(traits(), System.nanoTime());
		}
	}

	/**
	 * Ends the trials that the request holds.
	 */
	@Override
	public void close() {
		this.services.quarantine().end(this.call);
		logTrialEnd("none");
	}

}
