package org.banyanstile.server.caller;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.UUID;

import io.undertow.server.HttpServerExchange;
import org.banyanstile.core.common.TeamId;
import org.banyanstile.server.endpoint.ServiceCall;
import org.banyanstile.server.endpoint.ServiceClient;
import org.banyanstile.server.router.ResendLog;
import org.jspecify.annotations.Nullable;

/**
 * Handles calls to plain services.
 *
 * @author banyanstile contributors
 */
final class ServiceHandler {

	static final String PREFIX = "/v1/services/";

	/**
	 * A call to a plain service counts as one token, so that the team limit applies to
	 * it.
	 */
	private static final long TOKEN_COST = 1;

	private static final long MAX_RESPONSE_WAIT_MILLIS = 30_000;

	private static final long SLOT_WAIT_MILLIS = 1000;

	private final RequestServices services;

	ServiceHandler(RequestServices services) {
		this.services = services;
	}

	void handle(HttpServerExchange exchange, ResponseWriter writer) throws RequestException, IOException {
		ServingConfiguration configuration = this.services.configuration().current();
		ServiceRoute route = route(exchange, configuration);
		CallerRequest request = CallerRequest.read(exchange, configuration, route.open());
		Caller caller = request.caller();
		String team = (caller != null) ? caller.team().name() : "-";
		RequestLabels labels = new RequestLabels(team, route.service() + route.path(),
				this.services.dataCentre().name());
		try {
			StoredAnswer response = call(request, caller, route, labels);
			this.services.metrics().answered(labels);
			this.services.metrics().objective(labels, null);
			String type = (response.contentType() != null) ? response.contentType() : "application/octet-stream";
			writer.send(response.status(), type, response.body().getBytes(StandardCharsets.UTF_8));
		}
		catch (RequestException ex) {
			this.services.metrics().refused(labels, ex);
			throw ex;
		}
	}

	private static ServiceRoute route(HttpServerExchange exchange, ServingConfiguration configuration)
			throws RequestException {
		String servicePath = exchange.getRequestPath().substring(PREFIX.length());
		int slash = servicePath.indexOf('/');
		ServiceRoute route = (slash > 0) ? configuration.route(servicePath.substring(0, slash),
				exchange.getRequestMethod().toString(), servicePath.substring(slash)) : null;
		if (route == null) {
			throw RequestException.notRun(ErrorType.NOT_FOUND, "there is no such route");
		}
		return route;
	}

	private StoredAnswer call(CallerRequest request, @Nullable Caller caller, ServiceRoute route, RequestLabels labels)
			throws RequestException {
		if (!route.idempotent() && caller == null) {
			throw RequestException.notRun(ErrorType.UNAUTHORIZED,
					"a call that must run at most once requires an API key");
		}
		if (!route.idempotent() && request.idempotencyKey() == null) {
			throw RequestException.notRun(ErrorType.INVALID_REQUEST, "this route requires an Idempotency-Key");
		}
		ServiceDispatch dispatch = dispatch(request, caller, route, labels);
		if (route.idempotent() || caller == null) {
			requireServing();
			return runWithinLimit(caller, labels, dispatch::sendWithRetries);
		}
		ClaimKey key = new ClaimKey(caller.team(), Hashes.sha256(String.valueOf(request.idempotencyKey())),
				dispatch.hash());
		try {
			requireServing();
			return runWithinLimit(caller, labels, () -> claimAndRun(key, dispatch));
		}
		catch (RequestException ex) {
			throw isMadeWithoutClaim(ex) ? withEarlierAttempts(ex, key) : ex;
		}
	}

	private static boolean isMadeWithoutClaim(RequestException ex) {
		return ex.run() == RunState.NOT_RUN
				&& (ex.type() == ErrorType.NOT_SERVING || ex.type() == ErrorType.RATE_LIMITED);
	}

	/**
	 * Changes the run state of a refusal from "not run" to "unknown" if an earlier
	 * attempt with the same idempotency key may have run. Otherwise a caller that repeats
	 * a booking whose response was lost would book again under another key.
	 * @param ex the refusal
	 * @param key identity of the call
	 * @return the refusal
	 */
	private RequestException withEarlierAttempts(RequestException ex, ClaimKey key) {
		return this.services.claims().mayHaveRun(key) ? ex.afterAttempt() : ex;
	}

	private void requireServing() throws RequestException {
		if (!this.services.serving().mayServe()) {
			throw RequestException.notRun(ErrorType.NOT_SERVING, "this VM is not allowed to serve now", 0);
		}
	}

	private StoredAnswer runWithinLimit(@Nullable Caller caller, RequestLabels labels, Call call)
			throws RequestException {
		LimitDecision.Reserved reservation = (caller != null) ? reserve(caller) : null;
		this.services.metrics().accepted(labels);
		try {
			return call.run();
		}
		finally {
			if (reservation != null) {
				this.services.limiter().settle(reservation, TOKEN_COST);
			}
		}
	}

	private LimitDecision.Reserved reserve(Caller caller) throws RequestException {
		LimitDecision decision = this.services.limiter().reserve(caller.team(), TOKEN_COST);
		if (decision instanceof LimitDecision.Reserved reserved) {
			return reserved;
		}
		long retryAfter = (decision instanceof LimitDecision.Limited limited) ? limited.retryAfterMillis() : -1;
		throw RequestException.notRun(ErrorType.RATE_LIMITED, "the team exceeds its token rate", retryAfter);
	}

	private ServiceDispatch dispatch(CallerRequest request, @Nullable Caller caller, ServiceRoute route,
			RequestLabels labels) {
		HttpServerExchange exchange = request.exchange();
		String id = UUID.randomUUID().toString();
		Map<String, String> headers = new LinkedHashMap<>(KeyScrubber.headers(exchange, request.presentedKey()));
		headers.put(ServiceClient.REQUEST_ID, id);
		if (caller != null) {
			headers.put("X-Team", caller.team().name());
		}
		String idempotencyKey = request.idempotencyKey();
		if (idempotencyKey != null) {
			headers.put("Idempotency-Key", Hashes.sha256(labels.team() + "/" + idempotencyKey));
		}
		String query = KeyScrubber.query(exchange.getQueryString(), request.presentedKey());
		String path = route.path() + (query.isEmpty() ? "" : "?" + query);
		ServiceCall call = new ServiceCall(route.method(), path, headers, request.body(),
				Duration.ofMillis(Math.min(MAX_RESPONSE_WAIT_MILLIS, request.deadlineMillis())));
		Pool pool = new Pool(this.services.dataCentre(), route.service(), PoolRole.SERVICE);
		TeamId team = (caller != null) ? caller.team() : TeamId.of("open");
		SlotDemand demand = new SlotDemand(pool, team, TOKEN_COST, id, request.fingerprint(), 0, Set.of());
		ResendLog resends = ResendLog.startingNow(this.services.log(), id, "request", route.idempotent());
		return new ServiceDispatch(this.services, new SlotFinder(this.services, request.configuration(), demand), call,
				id, Math.min(SLOT_WAIT_MILLIS, request.deadlineMillis()), labels, resends);
	}

	private StoredAnswer claimAndRun(ClaimKey key, ServiceDispatch dispatch) throws RequestException {
		ClaimDecision decision = this.services.claims().claim(key);
		if (decision instanceof ClaimDecision.KeyReused) {
			throw RequestException.notRun(ErrorType.KEY_REUSED, "the idempotency key was used with another request");
		}
		if (decision instanceof ClaimDecision.InProgress running) {
			throw RequestException.unknown(ErrorType.OUTCOME_UNKNOWN, "the same call is still running",
					running.retryAfterMillis());
		}
		if (decision instanceof ClaimDecision.Unavailable unavailable) {
			throw RequestException.unknown(ErrorType.STORE_UNAVAILABLE,
					"this attempt did not run, but it is not known whether an earlier one did",
					unavailable.retryAfterMillis());
		}
		if (decision instanceof ClaimDecision.Run run) {
			return OnceOnlyOutcomes.response(runOnce(run, dispatch));
		}
		return OnceOnlyOutcomes.response(((ClaimDecision.Decided) decision).outcome());
	}

	private CallOutcome runOnce(ClaimDecision.Run run, ServiceDispatch dispatch) {
		CallOutcome outcome = new CallOutcome.OutcomeUnknown();
		try {
			outcome = dispatch.sendOnce();
			return outcome;
		}
		finally {
			this.services.claims().complete(run, outcome);
		}
	}

	/**
	 * A call that counts towards the team limit.
	 *
	 * @author banyanstile contributors
	 */
	@FunctionalInterface
	private interface Call {

		StoredAnswer run() throws RequestException;

	}

}
