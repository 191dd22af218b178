package org.banyanstile.server.router;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.banyanstile.core.catalog.EndpointPhase;
import org.banyanstile.core.catalog.RegisteredEndpoint;
import org.banyanstile.io.http.HttpException;
import org.banyanstile.io.http.HttpResponse;
import org.jspecify.annotations.Nullable;

/**
 * Serves a request to a plain service. The answer is read whole before any of it goes
 * back, so an answer that breaks off can be replaced by another attempt.
 *
 * @author banyanstile contributors
 */
final class PlainRun {

	/**
	 * A call that must not run twice goes on a connection that was in use this recently,
	 * or on a new one, since a request on a connection that the endpoint has closed
	 * leaves its outcome unknown.
	 */
	private static final Duration ONCE_ONLY_IDLE = Duration.ofMillis(300);

	private static final Duration REPEATABLE_IDLE = Duration.ofSeconds(5);

	private static final int MAX_BODY_BYTES = 8 * 1024 * 1024;

	private static final int SERVER_ERROR = 500;

	/**
	 * Time after which a caller may return when no endpoint is known or all are full.
	 */
	private static final double RETRY_SECONDS = 0.5;

	private final RouterServices services;

	private final RouterCall call;

	private final CallAttempts attempts;

	private final Set<String> tried = new HashSet<>();

	private PlainRun(RouterServices services, RouterCall call) {
		this.services = services;
		this.call = call;
		this.attempts = new CallAttempts(services, call);
	}

	static PlainRun create(RouterServices services, RouterCall call) {
		return new PlainRun(services, call);
	}

	void serve() throws RefusalException, IOException {
		WholeAnswer failure = null;
		String reason = "";
		while (!this.call.isOver()) {
			RegisteredEndpoint endpoint = pick();
			if (endpoint == null) {
				reason = "no endpoint of the service is available";
				break;
			}
			if (!this.attempts.tryNext()) {
				reason = "the retry budget is used up";
				break;
			}
			try {
				WholeAnswer answer = attempt(endpoint);
				if (!isWorthRepeating(answer)) {
					send(answer);
					return;
				}
				failure = answer;
			}
			catch (NotRunException ex) {
				reason = String.valueOf(ex.getMessage());
				this.attempts.notRun(endpoint, ex);
			}
			catch (UnknownOutcomeException ex) {
				reason = String.valueOf(ex.getMessage());
				this.attempts.unknown(endpoint, ex);
				if (!this.attempts.mayRunAgain()) {
					break;
				}
			}
		}
		finish(failure, reason);
	}

	private void finish(@Nullable WholeAnswer failure, String reason) throws RefusalException, IOException {
		if (failure != null && !this.call.isCallerGone()) {
			send(failure);
			return;
		}
		throw this.attempts.refusal(this.call.isOver() ? "no endpoint took the request in time" : reason,
				RETRY_SECONDS);
	}

	private void send(WholeAnswer answer) throws IOException {
		this.call.response().send(answer.status(), answer.headers(), answer.body(), this.services.protocol());
	}

	private boolean isWorthRepeating(WholeAnswer answer) {
		return answer.status() >= SERVER_ERROR && this.attempts.mayRunAgain();
	}

	private @Nullable RegisteredEndpoint pick() {
		List<RegisteredEndpoint> candidates = new ArrayList<>(
				this.services.view().snapshot().usable(this.call.service(), EndpointPhase.PLAIN));
		while (!candidates.isEmpty()) {
			RegisteredEndpoint endpoint = this.services.picker().fastest(candidates, this.tried, System.nanoTime());
			if (endpoint == null || (this.tried.contains(endpoint.id()) && !this.attempts.hasRun())) {
				return null;
			}
			if (this.services.mayTakeCold(endpoint)) {
				return endpoint;
			}
			candidates.remove(endpoint);
		}
		return null;
	}

	private WholeAnswer attempt(RegisteredEndpoint endpoint) throws NotRunException, UnknownOutcomeException {
		this.tried.add(endpoint.id());
		boolean repeatable = this.call.route().isRepeatable();
		EndpointFields fields = EndpointFields.plain(endpoint.id(), this.call.team(), this.call.endpointMillis());
		long began = System.nanoTime();
		this.services.loads().begin(endpoint.id(), 0);
		try (HttpResponse response = this.services.client()
			.send(this.call, endpoint, fields, repeatable ? REPEATABLE_IDLE : ONCE_ONLY_IDLE, attemptTimeout())) {
			response.setReadTimeout(attemptTimeout());
			WholeAnswer answer = new WholeAnswer(response.status(), response.headers(), response.bytes(MAX_BODY_BYTES));
			this.attempts.ran();
			long millis = (System.nanoTime() - began) / 1_000_000;
			this.services.health().answered(endpoint.id(), millis, answer.status() >= SERVER_ERROR, System.nanoTime());
			this.attempts.log(endpoint, Integer.toString(answer.status()), "");
			return answer;
		}
		catch (HttpException ex) {
			if (!this.call.isOver()) {
				this.services.health().unreachable(endpoint.id(), System.nanoTime());
			}
			throw new UnknownOutcomeException("the answer broke off: " + ex.getMessage());
		}
		finally {
			this.call.handle().end();
			this.services.loads().end(endpoint.id(), 0);
		}
	}

	// A call that may be repeated waits only so long for the first endpoint that another
	// one can still answer within the objective's order of magnitude.
	private Duration attemptTimeout() {
		long left = Math.max(1, this.call.leftMillis());
		return Duration
			.ofMillis(this.attempts.hasReserve() ? Math.min(left, 2 * this.call.route().objectiveMillis()) : left);
	}

	/**
	 * A whole answer of an endpoint.
	 *
	 * @param status its status
	 * @param headers its header fields
	 * @param body its body
	 * @author banyanstile contributors
	 */
	private record WholeAnswer(int status, List<Map.Entry<String, String>> headers, byte[] body) {

	}

}
