package org.banyanstile.server.router;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.banyanstile.core.catalog.RegisteredEndpoint;
import org.banyanstile.core.limit.BodyBudget;
import org.banyanstile.io.http.BodyChunks;
import org.banyanstile.io.http.BodyMemoryException;
import org.banyanstile.io.http.HttpException;
import org.banyanstile.io.http.HttpResponse;
import org.banyanstile.server.canary.RunOutcome;
import org.jspecify.annotations.Nullable;

/**
 * Serves a request to a plain service. The response is buffered completely before any of
 * it is sent to the caller, so the request can be retried if the response breaks off.
 *
 * @author banyanstile contributors
 */
final class PlainRun {

	private static final Duration MAX_POOLED_IDLE = Duration.ofSeconds(5);

	private static final int MAX_BODY_BYTES = 8 * 1024 * 1024;

	private static final int SERVER_ERROR = 500;

	/**
	 * {@code Retry-After} if no endpoint is known or all are full.
	 */
	private static final double RETRY_AFTER_SECONDS = 0.5;

	private final RouterServices services;

	private final RouterCall call;

	private final CallAttempts attempts;

	private final CrashGuard crashGuard;

	private final List<BodyBudget.Lease> leases = new ArrayList<>();

	private final Set<String> tried = new HashSet<>();

	private PlainRun(RouterServices services, RouterCall call) {
		this.services = services;
		this.call = call;
		this.attempts = new CallAttempts(services, call);
		this.crashGuard = new CrashGuard(services, call);
	}

	static PlainRun create(RouterServices services, RouterCall call) {
		return new PlainRun(services, call);
	}

	void serve() throws RejectionException, IOException {
		try (this.crashGuard) {
			run();
		}
		finally {
			this.leases.forEach(BodyBudget.Lease::close);
		}
	}

	private void run() throws RejectionException, IOException {
		BufferedResponse failure = null;
		String reason = "";
		while (!this.call.isCancelledOrTimedOut()) {
			double refusedSeconds = this.crashGuard.refusedSeconds();
			if (refusedSeconds > 0) {
				throw this.crashGuard.rejection(this.attempts, refusedSeconds);
			}
			RegisteredEndpoint endpoint = pickEndpoint();
			if (endpoint == null) {
				reason = "no endpoint of the service is available";
				break;
			}
			if (!this.attempts.tryAcquireAttempt()) {
				reason = "the retry budget is exhausted";
				break;
			}
			try {
				BufferedResponse buffered = attempt(endpoint);
				this.crashGuard.answered();
				if (!shouldRetry(buffered)) {
					send(buffered);
					return;
				}
				if (failure != null) {
					failure.lease().close();
				}
				failure = buffered;
			}
			catch (NotRunException ex) {
				reason = String.valueOf(ex.getMessage());
				this.attempts.recordNotRun(endpoint, ex);
				if (ex.hasReachedEndpoint() && this.services.fleetAdmission()) {
					this.services.health().full(endpoint.id(), System.nanoTime());
				}
			}
			catch (UnknownOutcomeException ex) {
				reason = String.valueOf(ex.getMessage());
				this.attempts.recordUnknownOutcome(endpoint, ex);
				if (ex.isConnectionBroken()) {
					this.crashGuard.connectionBroken(endpoint);
				}
				if (!this.attempts.mayRetryAfterRun()) {
					break;
				}
			}
		}
		finish(failure, reason);
	}

	private void finish(@Nullable BufferedResponse failure, String reason) throws RejectionException, IOException {
		if (failure != null && !this.call.isCallerDisconnected()) {
			send(failure);
			return;
		}
		throw this.attempts.rejection(
				this.call.isCancelledOrTimedOut() ? "no endpoint accepted the request before its deadline" : reason,
				RETRY_AFTER_SECONDS);
	}

	private void send(BufferedResponse buffered) throws IOException {
		this.call.response().send(buffered.status(), buffered.headers(), buffered.body(), this.services.protocol());
	}

	private boolean shouldRetry(BufferedResponse buffered) {
		return buffered.status() >= SERVER_ERROR && this.attempts.mayRetryAfterRun();
	}

	private @Nullable RegisteredEndpoint pickEndpoint() {
		RegisteredEndpoint endpoint = pickEndpoint(this.services.endpoints(this.call));
		return (endpoint == null && this.call.versions().fallBack()) ? pickEndpoint(this.services.endpoints(this.call))
				: endpoint;
	}

	private @Nullable RegisteredEndpoint pickEndpoint(List<RegisteredEndpoint> usable) {
		List<RegisteredEndpoint> candidates = new ArrayList<>(usable);
		while (!candidates.isEmpty()) {
			RegisteredEndpoint endpoint = this.services.picker().fastest(candidates, this.tried, System.nanoTime());
			if (endpoint == null || (this.tried.contains(endpoint.id()) && !this.attempts.hasRun())) {
				return null;
			}
			if (this.services.tryAcquireRate(endpoint)) {
				return endpoint;
			}
			candidates.remove(endpoint);
		}
		return null;
	}

	private BufferedResponse attempt(RegisteredEndpoint endpoint) throws NotRunException, UnknownOutcomeException {
		this.tried.add(endpoint.id());
		BodyBudget.Lease lease = this.services.bodies().response(endpoint.id());
		this.leases.add(lease);
		EndpointFields fields = EndpointFields.plain(endpoint.id(), this.call.team(),
				this.call.endpointTimeoutMillis());
		long startNanos = System.nanoTime();
		this.attempts.beginAttempt(endpoint);
		this.services.loads().begin(endpoint.id(), 0);
		try (HttpResponse response = this.services.client()
			.send(this.call, endpoint, fields, MAX_POOLED_IDLE, attemptTimeout())) {
			response.setReadTimeout(attemptTimeout());
			BufferedResponse buffered = new BufferedResponse(response.status(), response.headers(),
					response.body(MAX_BODY_BYTES, lease::tryAcquire), lease);
			this.attempts.recordRun();
			long millis = (System.nanoTime() - startNanos) / 1_000_000;
			this.services.health()
				.answered(endpoint.id(), millis, buffered.status() >= SERVER_ERROR, System.nanoTime());
			this.services.rollouts().began(endpoint, this.call.route().name(), millis);
			this.services.rollouts()
				.ended(endpoint, this.call.route().name(),
						(buffered.status() >= SERVER_ERROR) ? RunOutcome.FAILED : RunOutcome.ANSWERED, millis);
			this.attempts.log(endpoint, Integer.toString(buffered.status()), "");
			return buffered;
		}
		catch (HttpException ex) {
			lease.close();
			this.services.metrics().exchangeFailed(endpoint.id(), ex);
			if (ex instanceof BodyMemoryException) {
				this.services.metrics().bodyRejected("response");
			}
			if (!this.call.isCancelledOrTimedOut()) {
				this.services.health().unreachable(endpoint.id(), System.nanoTime());
				this.services.rollouts().ended(endpoint, this.call.route().name(), RunOutcome.BROKEN, 0);
			}
			this.services.rollouts()
				.began(endpoint, this.call.route().name(), (System.nanoTime() - startNanos) / 1_000_000);
			throw UnknownOutcomeException.of(ex);
		}
		finally {
			this.call.callHandle().end();
			this.services.loads().end(endpoint.id(), 0);
		}
	}

	// Limits the wait of a call that may be retried, so that another endpoint can still
	// respond within the order of magnitude of the objective.
	private Duration attemptTimeout() {
		long remaining = Math.max(1, this.call.remainingMillis());
		return Duration.ofMillis(this.attempts.mayRetryAfterNextRun()
				? Math.min(remaining, 2 * this.call.route().objectiveMillis()) : remaining);
	}

	/**
	 * Complete response of an endpoint.
	 *
	 * @param status its status
	 * @param headers its header fields
	 * @param body its body
	 * @param lease memory of the body
	 * @author banyanstile contributors
	 */
	private record BufferedResponse(int status, List<Map.Entry<String, String>> headers, BodyChunks body,
			BodyBudget.Lease lease) {

	}

}
