package org.banyanstile.server.router;

import java.io.IOException;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import org.banyanstile.core.catalog.Catalog;
import org.banyanstile.core.catalog.EngineTraits;
import org.banyanstile.core.catalog.ServedRoute;
import org.banyanstile.core.catalog.ServedService;
import org.banyanstile.core.catalog.TeamPolicy;
import org.banyanstile.server.caller.CallerConnection;
import org.banyanstile.server.view.FleetTable;
import org.banyanstile.server.view.FleetView;
import org.jspecify.annotations.Nullable;
import org.xnio.IoUtils;

/**
 * Takes requests of callers: reads them whole, finds route, team and quota, and has them
 * served by a thread each.
 *
 * @author banyanstile contributors
 */
final class RequestIntake implements HttpHandler {

	/**
	 * Requests that are served at once; each takes a thread. At its share of the peak a
	 * VM serves a few tens.
	 */
	static final int MAX_CALLS = 300;

	private static final int DEFAULT_MAX_BODY = 8 * 1024 * 1024;

	/**
	 * Time after which a caller may return that this VM cannot serve just now. Others
	 * can, and callers choose one at random.
	 */
	private static final double SOON_SECONDS = 0.3;

	/**
	 * Time from the start of a VM in which requests wait for the configuration and the
	 * endpoints. On a loaded fleet these were read 0.1 to 0.2 s after the listeners were
	 * up.
	 */
	private static final long START_WAIT_NANOS = 600_000_000L;

	private static final long START_POLL_NANOS = 20_000_000L;

	/**
	 * Longest wait for tokens of a team. A shorter one is no worse for a caller than
	 * coming back, and well below every objective.
	 */
	private static final long QUOTA_WAIT_NANOS = 150_000_000L;

	private final RouterServices services;

	private final TeamQuotas quotas;

	private final Departure departure;

	private final Semaphore permits = new Semaphore(MAX_CALLS);

	private final long started = System.nanoTime();

	private final AtomicInteger running = new AtomicInteger();

	private final Set<RouterCall> calls = ConcurrentHashMap.newKeySet();

	RequestIntake(RouterServices services, TeamQuotas quotas, Departure departure) {
		this.services = services;
		this.quotas = quotas;
		this.departure = departure;
	}

	/**
	 * Looks for callers that left and for time limits that passed.
	 */
	void checkCalls() {
		for (RouterCall call : this.calls) {
			try {
				call.check();
			}
			catch (RuntimeException ex) {
				this.services.log().problem("checking request " + call.id() + " failed", ex);
			}
		}
	}

	int running() {
		return this.running.get();
	}

	@Override
	public void handleRequest(HttpServerExchange exchange) {
		long arrived = System.nanoTime();
		if (isAmbiguous(exchange)) {
			refuseEarly(exchange, RefusalException.malformed("ambiguous body length"));
			return;
		}
		Catalog catalog = this.services.view().snapshot().catalog();
		exchange.setMaxEntitySize((catalog != null) ? catalog.maxBodyBytes() : DEFAULT_MAX_BODY);
		exchange.getRequestReceiver()
			.receiveFullBytes((whole, body) -> accept(whole, body, arrived), (broken, ex) -> unreadable(broken, ex));
	}

	// A request whose end two parsers could see at different places can smuggle another
	// one past the router.
	private static boolean isAmbiguous(HttpServerExchange exchange) {
		HeaderValues lengths = exchange.getRequestHeaders().get(Headers.CONTENT_LENGTH);
		HeaderValues codings = exchange.getRequestHeaders().get(Headers.TRANSFER_ENCODING);
		boolean chunked = codings != null && codings.size() == 1
				&& codings.getFirst().strip().equalsIgnoreCase("chunked");
		return (lengths != null && (lengths.size() > 1 || codings != null)) || (codings != null && !chunked);
	}

	private void unreadable(HttpServerExchange exchange, IOException ex) {
		if (ex instanceof RequestTooBigException) {
			refuseEarly(exchange, RefusalException.tooLarge());
			return;
		}
		IoUtils.safeClose(exchange.getConnection());
	}

	private void refuseEarly(HttpServerExchange exchange, RefusalException refusal) {
		exchange.setPersistent(false);
		exchange.setStatusCode(refusal.status());
		if (refusal.retryAfterSeconds() > 0) {
			exchange.getResponseHeaders().put(Headers.RETRY_AFTER, Double.toString(refusal.retryAfterSeconds()));
		}
		exchange.getResponseSender().send("");
	}

	private void accept(HttpServerExchange exchange, byte[] body, long arrived) {
		if (!this.permits.tryAcquire()) {
			RefusalException refusal = RefusalException.notRun("this VM is overloaded", SOON_SECONDS);
			this.services.metrics().refused(refusal.status());
			refuseEarly(exchange, refusal);
			return;
		}
		this.running.incrementAndGet();
		exchange.dispatch(() -> {
			try {
				serve(exchange, body, arrived);
			}
			finally {
				this.running.decrementAndGet();
				this.permits.release();
			}
		});
	}

	private void serve(HttpServerExchange exchange, byte[] body, long arrived) {
		CallerConnection connection = new CallerConnection(exchange);
		CallerFields fields = this.services.protocol()
			.callerFields((name) -> exchange.getRequestHeaders().getFirst(name));
		CallerResponse response = new CallerResponse(exchange, connection);
		try {
			route(exchange, connection, fields, body, arrived, response);
		}
		catch (RefusalException ex) {
			refuse(response, fields, ex, arrived);
		}
		catch (IOException ex) {
			this.services.log().request("caller gone", fields.attemptId(), "reason", String.valueOf(ex.getMessage()));
			response.abort();
		}
		catch (RuntimeException ex) {
			this.services.log().problem("request " + fields.attemptId() + " failed", ex);
			response.abort();
		}
		finally {
			connection.stop();
		}
	}

	private void refuse(CallerResponse response, CallerFields fields, RefusalException refusal, long arrived) {
		this.services.metrics().refused(refusal.status());
		this.services.log()
			.request("refused", fields.attemptId(), "status", refusal.status(), "reason", refusal.getMessage(),
					"retryAfter", refusal.retryAfterSeconds(), "ageMillis", (System.nanoTime() - arrived) / 1_000_000);
		if (response.isStarted()) {
			response.abort();
			return;
		}
		try {
			if (this.departure.hasBegun()) {
				response.closeAfterwards();
			}
			response.refuse(refusal);
		}
		catch (IOException ex) {
			response.abort();
		}
	}

	private void route(HttpServerExchange exchange, CallerConnection connection, CallerFields fields, byte[] body,
			long arrived, CallerResponse response) throws RefusalException, IOException {
		Catalog catalog = awaitCatalog();
		ServedRoute route = catalog.route(host(exchange), exchange.getRequestURI());
		if (route == null) {
			throw RefusalException.noRoute();
		}
		TeamPolicy team = team(catalog, route, fields);
		String name = route.service(ThreadLocalRandom.current().nextDouble());
		ServedService service = catalog.service(name);
		if (service == null) {
			throw RefusalException.notRun("the service of the route is not configured", SOON_SECONDS);
		}
		RouterCall call = new RouterCall(exchange, connection, fields, route, name, team, body, arrived, response);
		if (!this.departure.mayTake(call.leftMillis())) {
			throw RefusalException.notRun("this VM shuts down", SOON_SECONDS);
		}
		if (this.departure.hasBegun()) {
			call.response().closeAfterwards();
		}
		long tokens = takeQuota(team, fields);
		this.services.countRequest(name);
		this.services.log()
			.request("accepted", call.id(), "route", route.name(), "service", name, "team", call.team(), "version",
					catalog.version(), "tokens", tokens, "deadlineMillis", fields.deadlineMillis());
		this.calls.add(call);
		try {
			run(call, service);
			this.services.metrics().answered(route.kind().name(), "answered", call.ageMillis());
		}
		catch (RefusalException ex) {
			if (ex.status() == 503 && team != null) {
				this.quotas.giveBack(team, tokens);
			}
			this.services.metrics().answered(route.kind().name(), Integer.toString(ex.status()), call.ageMillis());
			if (call.isCallerGone()) {
				throw new IOException("the caller left after " + call.ageMillis() + " ms", ex);
			}
			throw ex;
		}
		finally {
			this.calls.remove(call);
		}
	}

	private void run(RouterCall call, ServedService service) throws RefusalException, IOException {
		EngineTraits engine = service.engine();
		if (engine != null) {
			GenerationRun.create(this.services, call, engine).serve();
		}
		else {
			PlainRun.create(this.services, call).serve();
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
			throws RefusalException {
		if (!catalog.isKeyed() || route.anonymous()) {
			return null;
		}
		TeamPolicy team = (fields.apiKey() != null) ? catalog.team(fields.apiKey()) : null;
		if (team == null) {
			throw RefusalException.unknownKey();
		}
		return team;
	}

	private long takeQuota(@Nullable TeamPolicy team, CallerFields fields) throws RefusalException {
		if (team == null) {
			return 0;
		}
		long tokens = fields.hasTokens() ? fields.promptTokens() + fields.maxOutputTokens() : team.plainTokens();
		long wait = this.quotas.take(team, tokens);
		if (wait > 0 && wait <= QUOTA_WAIT_NANOS) {
			LockSupport.parkNanos(wait);
			wait = this.quotas.take(team, tokens);
		}
		if (wait > 0) {
			throw RefusalException.overLimit(Math.max(0.05, wait / 1e9));
		}
		return tokens;
	}

	// Callers that come while the process starts wait for the configuration and the
	// endpoints, which are about to be read. A VM that has none for longer refuses at
	// once.
	private Catalog awaitCatalog() throws RefusalException {
		FleetView view = this.services.view();
		Catalog catalog = view.snapshot().catalog();
		while ((catalog == null || view.version(FleetTable.ENDPOINTS) < 0)
				&& System.nanoTime() - this.started < START_WAIT_NANOS) {
			LockSupport.parkNanos(START_POLL_NANOS);
			catalog = view.snapshot().catalog();
		}
		if (catalog == null) {
			throw RefusalException.notRun("no configuration is known yet", SOON_SECONDS);
		}
		return catalog;
	}

}
