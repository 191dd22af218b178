package org.banyanstile.server.router;

import java.io.IOException;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import org.banyanstile.core.catalog.CallKind;
import org.banyanstile.core.catalog.Catalog;
import org.banyanstile.core.catalog.EngineTraits;
import org.banyanstile.core.catalog.ServedRoute;
import org.banyanstile.core.catalog.ServedService;
import org.banyanstile.core.catalog.TeamPolicy;
import org.banyanstile.core.limit.BodyBudget;
import org.banyanstile.server.caller.CallerConnection;
import org.banyanstile.server.view.FleetTable;
import org.banyanstile.server.view.FleetView;
import org.jspecify.annotations.Nullable;
import org.xnio.IoUtils;

/**
 * Accepts requests of callers: reads each one completely, finds its route and team,
 * charges the quota, and serves it in a thread of its own.
 *
 * @author banyanstile contributors
 */
final class RequestIntake implements HttpHandler {

	/**
	 * Each request that is served takes a thread. At its share of the peak load a VM
	 * serves a few tens at a time.
	 */
	static final int MAX_CONCURRENT_REQUESTS = 300;

	/**
	 * Time limit of a request whose route is not known. Longer than a start of the VM and
	 * the limits of usual routes.
	 */
	private static final long UNROUTED_LIMIT_MILLIS = 10_000;

	private static final int DEFAULT_MAX_BODY_BYTES = 8 * 1024 * 1024;

	/**
	 * {@code Retry-After} for a request that this VM cannot serve at the moment. Other
	 * VMs can, and callers choose a VM at random.
	 */
	private static final double RETRY_AFTER_SECONDS = 0.3;

	/**
	 * Time from the start of a VM during which requests wait for the configuration and
	 * the endpoints. On a loaded fleet these are read 0.1 to 0.2 s after the listeners
	 * are up.
	 */
	private static final long MAX_START_WAIT_NANOS = 600_000_000L;

	/**
	 * Longest time for the body of a request, as for its head.
	 */
	private static final long MAX_BODY_MILLIS = 15_000;

	/**
	 * Time in which a caller can send the rest of a refused body, which is discarded.
	 */
	private static final long LINGER_MILLIS = 5000;

	private static final long START_POLL_NANOS = 20_000_000L;

	/**
	 * Maximum wait for tokens of a team. A wait up to this is no worse for a caller than
	 * a retry, and is well below every objective.
	 */
	private static final long MAX_QUOTA_WAIT_NANOS = 150_000_000L;

	/**
	 * Limits the length of a log line, since a caller chooses the number of parts.
	 */
	private static final int MAX_LOGGED_PARTS = 8;

	private final RouterServices services;

	private final TeamQuotas quotas;

	private final GracefulShutdown shutdown;

	private final RequestBodies bodies;

	private final Semaphore permits = new Semaphore(MAX_CONCURRENT_REQUESTS);

	private final long startNanos = System.nanoTime();

	private final AtomicInteger running = new AtomicInteger();

	private final Set<RouterCall> calls = ConcurrentHashMap.newKeySet();

	private final OpenExchanges exchanges = new OpenExchanges();

	private final ServiceDurations durations = new ServiceDurations();

	RequestIntake(RouterServices services, TeamQuotas quotas, GracefulShutdown shutdown) {
		this.services = services;
		this.quotas = quotas;
		this.shutdown = shutdown;
		services.metrics().bindFailedExchanges(this.exchanges);
		this.bodies = new RequestBodies(services.bodies());
		services.metrics().bindWaitingBodies(this.bodies, RequestBodies::waiting);
	}

	/**
	 * Cancels calls whose caller has disconnected or whose time limit has passed, and
	 * ends exchanges that have not ended some time after it.
	 */
	void cancelEndedCalls() {
		try {
			for (RouterCall call : this.calls) {
				cancelIfEnded(call);
			}
		}
		finally {
			this.exchanges.check(this.services.log());
		}
	}

	private void cancelIfEnded(RouterCall call) {
		try {
			call.cancelIfEnded();
		}
		catch (RuntimeException ex) {
			this.services.log().problem("checking request " + call.id() + " for cancellation failed", ex);
		}
	}

	int running() {
		return this.running.get();
	}

	/**
	 * Returns the number of requests that arrive or run and whose response is not
	 * complete.
	 * @return the number
	 */
	int unanswered() {
		return this.exchanges.unanswered();
	}

	/**
	 * Refuses the requests whose bodies are still arriving.
	 */
	void refuseIncompleteRequests() {
		this.bodies.refuseAll(RejectionException.SHUTTING_DOWN);
	}

	/**
	 * Ends all calls that still run with an answer.
	 */
	void endCalls() {
		this.calls.forEach(RouterCall::cancelForExit);
	}

	@Override
	public void handleRequest(HttpServerExchange exchange) throws Exception {
		long arrivalNanos = System.nanoTime();
		if (isAmbiguous(exchange)) {
			rejectWithoutBody(exchange, RejectionException.malformed("ambiguous body length"));
			return;
		}
		Catalog catalog = this.services.view().snapshot().catalog();
		OpenExchange open = this.exchanges.add(exchange, MAX_BODY_MILLIS);
		long maxBytes = (catalog != null) ? catalog.maxBodyBytes() : DEFAULT_MAX_BODY_BYTES;
		this.bodies.receive(exchange, maxBytes, new BodyReceiver(catalog, arrivalNanos, open));
	}

	private static long limitMillis(HttpServerExchange exchange, @Nullable Catalog catalog) {
		ServedRoute route = (catalog != null) ? catalog.route(host(exchange), exchange.getRequestURI()) : null;
		return (route != null) ? route.timeoutMillis() : UNROUTED_LIMIT_MILLIS;
	}

	private CallerFields callerFields(HttpServerExchange exchange) {
		return this.services.protocol().callerFields((name) -> exchange.getRequestHeaders().getFirst(name));
	}

	// The time limit of the route does not include the wait for memory, as far as the
	// caller's deadline leaves time for both.
	private long arrivalNanos(HttpServerExchange exchange, @Nullable Catalog catalog, long headNanos,
			long waitedNanos) {
		ServedRoute route = (catalog != null) ? catalog.route(host(exchange), exchange.getRequestURI()) : null;
		if (route == null || waitedNanos == 0) {
			return headNanos;
		}
		long spareMillis = Math.max(0, callerFields(exchange).deadlineMillis() - route.timeoutMillis());
		return headNanos + Math.min(waitedNanos, TimeUnit.MILLISECONDS.toNanos(spareMillis));
	}

	// A request whose end two parsers could find at different positions allows request
	// smuggling.
	private static boolean isAmbiguous(HttpServerExchange exchange) {
		HeaderValues lengths = exchange.getRequestHeaders().get(Headers.CONTENT_LENGTH);
		HeaderValues codings = exchange.getRequestHeaders().get(Headers.TRANSFER_ENCODING);
		boolean chunked = codings != null && codings.size() == 1
				&& codings.getFirst().strip().equalsIgnoreCase("chunked");
		return (lengths != null && (lengths.size() > 1 || codings != null)) || (codings != null && !chunked);
	}

	private void failToRead(HttpServerExchange exchange, IOException ex) {
		if (ex instanceof RequestTooBigException) {
			rejectWithoutBody(exchange, RejectionException.tooLarge());
			return;
		}
		if (ex.getCause() != null) {
			this.services.log().problem("a request was not read", ex);
		}
		IoUtils.safeClose(exchange.getConnection());
	}

	// Answers a request whose body was not read. The connection is closed later, since
	// bytes that arrive at a closed one can destroy the response before it is read.
	private void refuseUnread(HttpServerExchange exchange, RejectionException rejection) {
		this.services.metrics().refused(rejection.status());
		this.services.metrics().bodyRejected("request");
		this.services.log()
			.request("refused", callerFields(exchange).attemptId(), "status", rejection.status(), "reason",
					rejection.getMessage(), "retryAfter", rejection.retryAfterSeconds());
		exchange.setPersistent(false);
		exchange.setStatusCode(rejection.status());
		exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
		exchange.getResponseHeaders().put(Headers.RETRY_AFTER, Double.toString(rejection.retryAfterSeconds()));
		exchange.getIoThread()
			.executeAfter(() -> IoUtils.safeClose(exchange.getConnection()), LINGER_MILLIS, TimeUnit.MILLISECONDS);
		exchange.getResponseSender().send("{\"error\":\"" + rejection.getMessage() + "\"}");
	}

	private void rejectWithoutBody(HttpServerExchange exchange, RejectionException rejection) {
		exchange.setPersistent(false);
		exchange.setStatusCode(rejection.status());
		if (rejection.retryAfterSeconds() > 0) {
			exchange.getResponseHeaders().put(Headers.RETRY_AFTER, Double.toString(rejection.retryAfterSeconds()));
		}
		exchange.getResponseSender().send("");
	}

	private void accept(HttpServerExchange exchange, byte[] body, BodyBudget.Lease lease, long arrivalNanos,
			OpenExchange open) {
		if (!this.permits.tryAcquire()) {
			this.bodies.release(lease);
			RejectionException rejection = RejectionException.notRun("this VM is overloaded", RETRY_AFTER_SECONDS);
			this.services.metrics().refused(rejection.status());
			rejectWithoutBody(exchange, rejection);
			return;
		}
		this.running.incrementAndGet();
		exchange.dispatch(() -> {
			try {
				serve(exchange, body, arrivalNanos, open);
			}
			catch (RuntimeException | Error ex) {
				this.exchanges.fail(open, ex);
			}
			finally {
				this.bodies.release(lease);
				this.running.decrementAndGet();
				this.permits.release();
			}
		});
	}

	private void serve(HttpServerExchange exchange, byte[] body, long arrivalNanos, OpenExchange open) {
		CallerConnection connection = new CallerConnection(exchange);
		CallerFields fields = callerFields(exchange);
		open.setId(fields.attemptId());
		CallerResponse response = new CallerResponse(exchange, connection, open, this.services.log());
		try {
			route(exchange, connection, fields, body, arrivalNanos, response);
		}
		catch (RejectionException ex) {
			reject(response, fields, ex, arrivalNanos);
		}
		catch (IOException ex) {
			this.services.log().request("caller gone", fields.attemptId(), "reason", String.valueOf(ex.getMessage()));
			response.abort();
		}
		finally {
			connection.stop();
		}
	}

	private void reject(CallerResponse response, CallerFields fields, RejectionException rejection, long arrivalNanos) {
		this.services.metrics().refused(rejection.status());
		this.services.log()
			.request("refused", fields.attemptId(), "status", rejection.status(), "reason", rejection.getMessage(),
					"retryAfter", rejection.retryAfterSeconds(), "ageMillis",
					(System.nanoTime() - arrivalNanos) / 1_000_000);
		if (response.isStarted()) {
			response.abort();
			return;
		}
		try {
			if (this.shutdown.hasBegun()) {
				response.closeConnectionAfterResponse();
			}
			response.reject(rejection);
		}
		catch (IOException ex) {
			response.abort();
		}
	}

	private void route(HttpServerExchange exchange, CallerConnection connection, CallerFields fields, byte[] body,
			long arrivalNanos, CallerResponse response) throws RejectionException, IOException {
		Catalog catalog = awaitCatalog();
		ServedRoute route = catalog.route(host(exchange), exchange.getRequestURI());
		if (route == null) {
			throw RejectionException.noRoute();
		}
		TeamPolicy team = team(catalog, route, fields);
		String name = route.service(ThreadLocalRandom.current().nextDouble());
		ServedService service = catalog.service(name);
		if (service == null) {
			throw RejectionException.notRun("the service of the route is not configured", RETRY_AFTER_SECONDS);
		}
		RouterCall call = new RouterCall(exchange, connection, fields, route, name,
				this.services.rollouts().assign(name), team, body, arrivalNanos, response);
		if (!this.shutdown.accepts(call.remainingMillis(), likelyMillis(call))) {
			throw RejectionException.shuttingDown();
		}
		if (this.shutdown.hasBegun()) {
			call.response().closeConnectionAfterResponse();
		}
		long tokens = chargeQuota(team, fields);
		this.services.countRequest(name);
		this.services.log()
			.request("accepted", call.id(), "route", route.name(), "service", name, "team", call.team(), "version",
					catalog.version(), "tokens", tokens, "deadlineMillis", fields.deadlineMillis(), "parts",
					loggedParts(fields), "resumes", fields.resumedAttempt(), "lastEventId", fields.lastEventId());
		this.calls.add(call);
		try {
			run(call, service);
			this.durations.record(name, call.ageMillis());
			this.services.metrics().completed(route.kind().name(), "answered", call.ageMillis());
		}
		catch (RejectionException ex) {
			if (ex.status() == 503 && team != null) {
				this.quotas.refund(team, tokens);
			}
			this.services.metrics().completed(route.kind().name(), Integer.toString(ex.status()), call.ageMillis());
			if (call.isCallerDisconnected()) {
				throw new IOException("caller disconnected after " + call.ageMillis() + " ms", ex);
			}
			throw ex;
		}
		finally {
			this.calls.remove(call);
		}
	}

	// A plain call that must not be repeated has to end before this VM exits in any case.
	private long likelyMillis(RouterCall call) {
		return (call.route().kind() == CallKind.ONCE_ONLY) ? Long.MAX_VALUE
				: this.durations.likelyMillis(call.service());
	}

	private static String loggedParts(CallerFields fields) {
		return String.join(",",
				fields.sharedParts().subList(0, Math.min(MAX_LOGGED_PARTS, fields.sharedParts().size())));
	}

	private void run(RouterCall call, ServedService service) throws RejectionException, IOException {
		EngineTraits engine = service.engine();
		try {
			if (engine != null) {
				GenerationRun.create(this.services, call, engine).serve();
			}
			else {
				PlainRun.create(this.services, call).serve();
			}
		}
		catch (RuntimeException ex) {
			this.exchanges.recordError();
			this.services.log().problem("request " + call.id() + " failed", ex);
			throw call.isSent() ? RejectionException.unknownOutcome("internal error after the request was sent")
					: RejectionException.notRun("internal error before the request was sent", RETRY_AFTER_SECONDS);
		}
	}

	private static String host(HttpServerExchange exchange) {
		String host = exchange.getRequestHeaders().getFirst(Headers.HOST);
		if (host == null) {
			return "";
		}
		int colon = host.lastIndexOf(':');
		return (colon > 0) ? host.substring(0, colon) : host;
	}

	private static @Nullable TeamPolicy team(Catalog catalog, ServedRoute route, CallerFields fields)
			throws RejectionException {
		if (!catalog.isKeyRequired() || route.anonymous()) {
			return null;
		}
		TeamPolicy team = (fields.apiKey() != null) ? catalog.team(fields.apiKey()) : null;
		if (team == null) {
			throw RejectionException.unknownKey();
		}
		return team;
	}

	private long chargeQuota(@Nullable TeamPolicy team, CallerFields fields) throws RejectionException {
		if (team == null) {
			return 0;
		}
		long tokens = fields.hasTokens() ? fields.promptTokens() + fields.maxOutputTokens() : team.plainTokens();
		long waitNanos = this.quotas.take(team, tokens);
		if (waitNanos > 0 && waitNanos <= MAX_QUOTA_WAIT_NANOS) {
			LockSupport.parkNanos(waitNanos);
			waitNanos = this.quotas.take(team, tokens);
		}
		if (waitNanos > 0) {
			throw RejectionException.overTokenLimit(Math.max(0.05, waitNanos / 1e9));
		}
		return tokens;
	}

	// Requests that arrive while the process starts wait for the configuration and the
	// endpoints, which are about to be read. A VM that has no configuration after this
	// wait rejects requests at once.
	private Catalog awaitCatalog() throws RejectionException {
		FleetView view = this.services.view();
		Catalog catalog = view.snapshot().catalog();
		while ((catalog == null || view.version(FleetTable.ENDPOINTS) < 0)
				&& System.nanoTime() - this.startNanos < MAX_START_WAIT_NANOS) {
			LockSupport.parkNanos(START_POLL_NANOS);
			catalog = view.snapshot().catalog();
		}
		if (catalog == null) {
			throw RejectionException.notRun("this VM has not read a configuration yet", RETRY_AFTER_SECONDS);
		}
		return catalog;
	}

	/**
	 * Takes over a request after its body was read.
	 *
	 * @author banyanstile contributors
	 */
	private final class BodyReceiver implements RequestBodies.Receiver {

		private final @Nullable Catalog catalog;

		private final long headNanos;

		private final OpenExchange open;

		private BodyReceiver(@Nullable Catalog catalog, long headNanos, OpenExchange open) {
			this.catalog = catalog;
			this.headNanos = headNanos;
			this.open = open;
		}

		// A body that waits for memory may take until the caller's deadline.
		@Override
		public long maxMillis(HttpServerExchange exchange, boolean waits) {
			ServedRoute route = (this.catalog != null) ? this.catalog.route(host(exchange), exchange.getRequestURI())
					: null;
			long deadline = callerFields(exchange).deadlineMillis();
			long limit = (deadline >= 0) ? Math.min(deadline, MAX_BODY_MILLIS) : MAX_BODY_MILLIS;
			return (route == null || (waits && deadline >= 0)) ? limit : Math.min(limit, route.timeoutMillis());
		}

		@Override
		public void received(HttpServerExchange exchange, byte[] body, BodyBudget.Lease lease, long waitedNanos) {
			long arrivalNanos = arrivalNanos(exchange, this.catalog, this.headNanos, waitedNanos);
			this.open.setDeadline(arrivalNanos, limitMillis(exchange, this.catalog));
			accept(exchange, body, lease, arrivalNanos, this.open);
		}

		@Override
		public void failed(HttpServerExchange exchange, IOException cause) {
			failToRead(exchange, cause);
		}

		@Override
		public void refused(HttpServerExchange exchange, String reason) {
			refuseUnread(exchange, RejectionException.notRun(reason, RETRY_AFTER_SECONDS));
		}

	}

}
