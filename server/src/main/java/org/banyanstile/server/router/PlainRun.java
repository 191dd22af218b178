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

	private final Set<String> tried = new HashSet<>();

	private int runs;

	private int arrivals;

	private PlainRun(RouterServices services, RouterCall call) {
		this.services = services;
		this.call = call;
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
			if (this.arrivals > 0 && !this.services.tryRepeat(this.call.service())) {
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
				reason = ex.getMessage();
				this.arrivals += ex.hasArrived() ? 1 : 0;
				log(endpoint, "not run", reason);
				continue;
			}
			catch (UnknownOutcomeException ex) {
				reason = ex.getMessage();
				this.arrivals++;
				this.runs++;
				log(endpoint, "unknown", reason);
				if (!mayRunAgain()) {
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
		if (this.runs == 0) {
			throw RefusalException.notRun(this.call.isOver() ? "no endpoint took the request in time" : reason,
					RETRY_SECONDS);
		}
		throw this.call.isOver() ? RefusalException.timedOut() : RefusalException.unknown(reason);
	}

	private void send(WholeAnswer answer) throws IOException {
		this.call.response().send(answer.status(), answer.headers(), answer.body(), this.services.protocol());
	}

	private boolean isWorthRepeating(WholeAnswer answer) {
		return answer.status() >= SERVER_ERROR && mayRunAgain();
	}

	private boolean mayRunAgain() {
		return this.call.route().isRepeatable() && this.runs < this.call.route().maxAttempts() && !this.call.isOver();
	}

	private @Nullable RegisteredEndpoint pick() {
		List<RegisteredEndpoint> candidates = new ArrayList<>(
				this.services.view().snapshot().usable(this.call.service(), EndpointPhase.PLAIN));
		while (!candidates.isEmpty()) {
			RegisteredEndpoint endpoint = this.services.picker().fastest(candidates, this.tried, System.nanoTime());
			if (endpoint == null || (this.tried.contains(endpoint.id()) && this.runs == 0)) {
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
			this.runs++;
			this.arrivals++;
			long millis = (System.nanoTime() - began) / 1_000_000;
			this.services.health().answered(endpoint.id(), millis, answer.status() >= SERVER_ERROR, System.nanoTime());
			log(endpoint, Integer.toString(answer.status()), "");
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
		boolean another = this.call.route().isRepeatable() && this.runs + 1 < this.call.route().maxAttempts();
		return Duration.ofMillis(another ? Math.min(left, 2 * this.call.route().objectiveMillis()) : left);
	}

	private void log(RegisteredEndpoint endpoint, String outcome, String reason) {
		this.services.metrics().outcome(outcome);
		this.services.log()
			.request("attempt", this.call.id(), "endpoint", endpoint.id(), "service", this.call.service(), "run",
					this.runs, "outcome", outcome, "reason", reason, "ageMillis", this.call.ageMillis());
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
