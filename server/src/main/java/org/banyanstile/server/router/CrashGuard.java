package org.banyanstile.server.router;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;

import org.banyanstile.core.catalog.RegisteredEndpoint;
import org.banyanstile.core.quarantine.QuarantineDecision;
import org.banyanstile.core.quarantine.TrialClaim;
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

	private final List<TrialClaim> claims = new ArrayList<>();

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
		QuarantineDecision decision = this.services.quarantine()
			.decide(this.call, traits(), this.services.position(), System.nanoTime());
		long nanos = decision.isTrial() ? beginTrial(decision.claims()) : decision.refusedNanos();
		return nanos / NANOS_PER_SECOND;
	}

	// Returns 0 if the trial may begin, else the time in nanoseconds after which the
	// request is worth a retry.
	private long beginTrial(List<TrialClaim> wanted) {
		String traits = wanted.stream()
			.map((claim) -> HexFormat.of().toHexDigits(claim.trait()))
			.collect(Collectors.joining(" "));
		if (!tryAcquire(wanted)) {
			this.services.log().stateChange("trial denied", "request", this.call.id(), "traits", traits);
			return this.services.quarantine().denied(this.call, System.nanoTime());
		}
		this.claims.addAll(wanted);
		this.services.log().stateChange("trial", "request", this.call.id(), "traits", traits);
		return 0;
	}

	private boolean tryAcquire(List<TrialClaim> wanted) {
		try {
			return this.services.trialLock().tryAcquire(wanted);
		}
		catch (IOException ex) {
			this.services.log().problem("a trial cannot be claimed from the store", ex);
			return false;
		}
	}

	private void logTrialEnd(String outcome) {
		if (!this.claims.isEmpty()) {
			this.claims.clear();
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
	 * Ends the trials that the request holds, so that another VM can try if they have no
	 * result.
	 */
	@Override
	public void close() {
		this.services.quarantine().end(this.call);
		if (this.claims.isEmpty()) {
			return;
		}
		List<TrialClaim> unused = List.copyOf(this.claims);
		logTrialEnd("none");
		CompletableFuture.runAsync(() -> release(unused));
	}

	private void release(List<TrialClaim> unused) {
		try {
			this.services.trialLock().release(unused);
		}
		catch (IOException ex) {
			this.services.log().problem("a trial cannot be given up in the store; it ends after its turn", ex);
		}
	}

}
