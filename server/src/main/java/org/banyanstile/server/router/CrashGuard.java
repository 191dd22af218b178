package org.banyanstile.server.router;

import java.util.HexFormat;
import java.util.Set;

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
		return nanos / NANOS_PER_SECOND;
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
	}

	/**
	 * Records that an endpoint answered the request or began to do so.
	 */
	void answered() {
		if (this.answered) {
			return;
		}
		this.answered = true;
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
	}

}
