package org.banyanstile.server.router;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.banyanstile.core.catalog.RegisteredEndpoint;
import org.banyanstile.core.limit.BodyBudget;
import org.banyanstile.core.placement.EndpointLoads;
import org.banyanstile.core.placement.PrefillPlacement;
import org.banyanstile.io.http.HttpException;
import org.banyanstile.io.http.HttpResponse;
import org.jspecify.annotations.Nullable;

/**
 * Prefills the prompt of a generation at a prefill engine, unless its decode engine
 * should do so.
 *
 * @author banyanstile contributors
 */
final class PromptPrefill {

	/**
	 * Maximum number of prefill engines tried for one prompt. Each one after the first
	 * takes a retry from the retry budget if the request reached the engine before it.
	 */
	private static final int MAX_PREFILL_ATTEMPTS = 3;

	/**
	 * Several times as long as a busy prefill engine takes for the longest prompt.
	 */
	private static final long PREFILL_TIMEOUT_MILLIS = 2500;

	private static final int MAX_HANDLE_BYTES = 4096;

	private final RouterServices services;

	private final RouterCall call;

	private final CallAttempts attempts;

	private final CrashGuard crashGuard;

	PromptPrefill(RouterServices services, RouterCall call, CallAttempts attempts, CrashGuard crashGuard) {
		this.services = services;
		this.call = call;
		this.attempts = attempts;
		this.crashGuard = crashGuard;
	}

	/**
	 * Prefills the prompt at a prefill engine.
	 * @param reservation reservation at the decode engine
	 * @return the prompt, or {@code null} if the decode engine has to prefill it
	 */
	@Nullable
	PrefilledPrompt prefill(DecodeReservation reservation) {
		Set<String> tried = new HashSet<>();
		boolean retry = this.attempts.hasReachedEndpoint();
		ResendLog resends = ResendLog.create(this.services.log(), this.call.id(), "prefill",
				this.call.route().isRetryable(), this.call::ageMillis);
		for (int i = 0; i < MAX_PREFILL_ATTEMPTS && !this.call.isCancelledOrTimedOut()
				&& !this.crashGuard.isRefused(); i++) {
			List<RegisteredEndpoint> engines = this.services.prefillEngines(this.call, reservation.engine());
			RegisteredEndpoint engine = scheduledEngine(engines, tried, reservation);
			if (engine == null && reservation.isPrefillAtDecodeEngine()) {
				return null;
			}
			if (engine == null) {
				engine = pickEngine(engines, tried, reservation.engine().dataCentre());
				if (engine == null || !usesPrefillEngine(engine, reservation.engine())) {
					return null;
				}
			}
			tried.add(engine.id());
			if (!this.services.tryAcquireRate(engine)) {
				continue;
			}
			if (retry && !this.services.tryAcquireRetry(this.call.service())) {
				return null;
			}
			resends.begin(engine.id());
			try {
				return prefill(engine, reservation);
			}
			catch (NotRunException ex) {
				resends.end(engine.id(), ex.proof());
				retry |= ex.hasReachedEndpoint();
				this.services.health().refused(engine.id(), System.nanoTime());
				this.attempts.log(engine, "prefill not run", ex.getMessage());
			}
			catch (UnknownOutcomeException ex) {
				retry = true;
				resends.end(engine.id(), "none, the prompt may be prefilled: " + ex.getMessage());
				recordLoss(engine, ex);
			}
			catch (HttpException ex) {
				retry = true;
				this.services.metrics().exchangeFailed(engine.id(), ex);
				resends.end(engine.id(), "none, the prompt may be prefilled: " + ex.getMessage());
				recordLoss(engine, UnknownOutcomeException.of(ex));
			}
		}
		return null;
	}

	private @Nullable RegisteredEndpoint pickEngine(List<RegisteredEndpoint> engines, Set<String> tried,
			String dataCentre) {
		long now = System.nanoTime();
		if (!this.services.fleetAdmission()) {
			return this.services.picker().leastTokens(engines, tried, dataCentre, now);
		}
		return this.services.picker()
			.earliestEnd(engines, tried, dataCentre, this.call.fields().promptTokens(),
					this.services.observations().speeds(), now);
	}

	private double tokensPerMilli(RegisteredEndpoint engine) {
		return this.services.fleetAdmission() ? this.services.observations().speeds().of(engine.id())
				: this.services.prefillSpeeds().tokensPerMilli(engine.id());
	}

	private void recordLoss(RegisteredEndpoint engine, UnknownOutcomeException ex) {
		if (ex.isConnectionBroken()) {
			this.crashGuard.connectionBroken(engine);
		}
		this.attempts.log(engine, "prefill lost", ex.getMessage());
	}

	private boolean usesPrefillEngine(RegisteredEndpoint prefillEngine, RegisteredEndpoint decodeEngine) {
		EndpointLoads loads = this.services.loads();
		PrefillPlacement.Prompt prompt = new PrefillPlacement.Prompt(this.call.fields().promptTokens(),
				this.call.route().maxPauseMillis());
		// The load of the decode engine includes this request.
		PrefillPlacement.DecodeEngine decode = new PrefillPlacement.DecodeEngine(
				loads.total(decodeEngine.id()).requests() - 1, loads.prefillTokens(decodeEngine.id()));
		return PrefillPlacement.usesPrefillEngine(prompt, loads.total(prefillEngine.id()).tokens(),
				tokensPerMilli(prefillEngine), decode);
	}

	private static @Nullable RegisteredEndpoint scheduledEngine(List<RegisteredEndpoint> engines, Set<String> tried,
			DecodeReservation reservation) {
		String id = reservation.prefillEngine();
		return engines.stream()
			.filter((engine) -> engine.id().equals(id) && !tried.contains(engine.id()))
			.findFirst()
			.orElse(null);
	}

	private PrefilledPrompt prefill(RegisteredEndpoint engine, DecodeReservation reservation)
			throws NotRunException, UnknownOutcomeException, HttpException {
		long tokens = Math.max(1, this.call.fields().promptTokens());
		long startNanos = System.nanoTime();
		long queuedTokens = this.services.loads().total(engine.id()).tokens();
		this.services.loads().begin(engine.id(), tokens);
		EndpointFields fields = new EndpointFields(engine.id(), this.call.team(), this.call.endpointTimeoutMillis(),
				true, null, null, GenerationRun.NO_URGENCY, null);
		Duration timeout = Duration
			.ofMillis(Math.max(1, Math.min(PREFILL_TIMEOUT_MILLIS, this.call.remainingMillis())));
		try (HttpResponse response = this.services.client()
			.send(this.call, engine, fields, GenerationRun.MAX_POOLED_IDLE, timeout);
				BodyBudget.Lease lease = this.services.bodies().response(engine.id())) {
			byte[] body = response.body(MAX_HANDLE_BYTES, lease::tryAcquire).toByteArray();
			String handle = (response.status() == GenerationRun.SUCCESS)
					? this.services.engineCalls().prefillHandle(body) : null;
			long millis = (System.nanoTime() - startNanos) / 1_000_000;
			this.services.health().answered(engine.id(), millis, handle == null, System.nanoTime());
			if (handle == null) {
				throw new UnknownOutcomeException(
						engine.id() + " responded to a prefill request with " + response.status());
			}
			this.services.prefillSpeeds().prefilled(engine.id(), tokens, millis);
			reservation.prefilled(engine.id(), millis);
			this.services.observations().prefilled(this.call.service(), engine.id(), tokens, queuedTokens, millis);
			this.attempts.log(engine, "prefilled", "in " + millis + " ms");
			return new PrefilledPrompt(engine, handle, this.services.engineCalls().cacheSource(engine, handle),
					System.nanoTime());
		}
		finally {
			this.call.callHandle().end();
			this.services.loads().end(engine.id(), tokens);
		}
	}

}
