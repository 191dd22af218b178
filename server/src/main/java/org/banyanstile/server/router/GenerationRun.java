package org.banyanstile.server.router;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.banyanstile.core.catalog.EndpointPhase;
import org.banyanstile.core.catalog.EngineTraits;
import org.banyanstile.core.catalog.RegisteredEndpoint;
import org.banyanstile.core.placement.PromptReader;
import org.banyanstile.io.http.HttpException;
import org.banyanstile.io.http.HttpResponse;
import org.banyanstile.io.http.ResponseTimeoutException;
import org.jspecify.annotations.Nullable;

/**
 * Serves a generation: reserves memory at a decode engine, has the prompt read by a
 * prefill engine, and passes the stream on as it arrives. A stream that breaks off goes
 * on at another engine where the route allows it.
 *
 * @author banyanstile contributors
 */
final class GenerationRun {

	/**
	 * Time after which a caller may return whose generation has not run although it had a
	 * place, so engines fail or leave just now.
	 */
	private static final double RETRY_SECONDS = 1;

	private static final int SUCCESS = 200;

	private static final int SERVER_ERROR = 500;

	private static final int MAX_HANDLE_BYTES = 4096;

	/**
	 * Prefill engines that are tried for one prompt. Each further one takes a repeat from
	 * the retry budget if the request arrived at the one before.
	 */
	private static final int PREFILL_TRIES = 3;

	/**
	 * Longest wait for a prefill engine, some times what the longest prompt takes on a
	 * busy one.
	 */
	private static final long PREFILL_MILLIS = 2500;

	/**
	 * Silence after which a stream that may be resumed goes on elsewhere, if another
	 * engine has memory for it. Events of a sound engine are 50 to 90 ms apart, and
	 * callers give up after two seconds or more.
	 */
	private static final long SILENCE_MILLIS = 1300;

	/**
	 * Refusals after which a prompt is read again.
	 */
	private static final int MAX_PROMPT_REFUSALS = 2;

	/**
	 * Ratio of reserved output to the caller's estimate, which is right at the median.
	 */
	private static final double OUTPUT_MARGIN = 1.1;

	private static final Duration POOLED_IDLE = Duration.ofMillis(300);

	/**
	 * Generations are not ranked at the engine. A more urgent one would preempt running
	 * ones, whose prompts are then read again; the line before the reservation ranks
	 * them.
	 */
	private static final int NO_URGENCY = -1;

	private final RouterServices services;

	private final RouterCall call;

	private final EngineTraits traits;

	private final EventSplitter events = new EventSplitter();

	private final CallAttempts attempts;

	/**
	 * A prompt that was read and that no decode engine has taken yet.
	 */
	private @Nullable PrefilledPrompt prompt;

	/**
	 * Decode engines that refused the request with this prompt, the second perhaps
	 * because the prompt is gone.
	 */
	private int promptRefusals;

	/**
	 * A place that is reserved for the rest of the stream when its engine is left.
	 */
	private @Nullable DecodePlace successor;

	private GenerationRun(RouterServices services, RouterCall call, EngineTraits traits) {
		this.services = services;
		this.call = call;
		this.traits = traits;
		this.attempts = new CallAttempts(services, call);
	}

	static GenerationRun create(RouterServices services, RouterCall call, EngineTraits traits) {
		return new GenerationRun(services, call, traits);
	}

	private long neededTokens() {
		CallerFields fields = this.call.fields();
		long output = fields.maxOutputTokens();
		if (fields.expectedOutputTokens() >= 0) {
			output = Math.min(output, (long) (OUTPUT_MARGIN * fields.expectedOutputTokens()));
		}
		return Math.max(0, fields.promptTokens()) + Math.max(1, output);
	}

	void serve() throws RefusalException, IOException {
		try {
			run();
		}
		finally {
			dropPrompt();
			if (this.successor != null) {
				releaseReservation(this.successor);
			}
		}
	}

	private void run() throws RefusalException, IOException {
		String reason = "no engine took the request in time";
		while (!this.call.isOver()) {
			DecodePlace place = nextPlace();
			if (place == null) {
				reason = "the retry budget is used up";
				break;
			}
			this.services.loads().begin(place.engine().id(), place.tokens());
			try {
				if (decode(place)) {
					return;
				}
				reason = "the stream broke off";
				if (!this.attempts.mayRunAgain()) {
					break;
				}
			}
			catch (NotRunException ex) {
				reason = String.valueOf(ex.getMessage());
				this.attempts.notRun(place.engine(), ex);
			}
			catch (UnknownOutcomeException ex) {
				reason = String.valueOf(ex.getMessage());
				// The engine may have taken the prompt.
				this.promptRefusals = MAX_PROMPT_REFUSALS;
				this.attempts.unknown(place.engine(), ex);
				if (!this.attempts.mayRunAgain()) {
					break;
				}
			}
			finally {
				this.services.loads().end(place.engine().id(), place.tokens());
				this.services.line(this.call.service()).memoryFreed();
			}
		}
		fail(reason);
	}

	private DecodePlaces places() {
		return new DecodePlaces(this.services, this.call, this.traits, neededTokens());
	}

	// Takes the place that is reserved for the rest of the stream, or waits for one.
	// @return the place, or {@code null} if the retry budget is used up
	private @Nullable DecodePlace nextPlace() throws RefusalException {
		DecodePlace reserved = this.successor;
		if (reserved != null) {
			this.successor = null;
			return reserved;
		}
		return permitted(places().await());
	}

	private @Nullable DecodePlace permitted(DecodePlace place) {
		if (this.attempts.tryNext()) {
			return place;
		}
		releaseReservation(place);
		return null;
	}

	private void fail(String reason) throws RefusalException {
		if (this.call.response().isStarted()) {
			this.services.log()
				.request("stream broken", this.call.id(), "reason", reason, "events", this.events.events(), "ageMillis",
						this.call.ageMillis());
			this.call.response().abort();
			return;
		}
		throw this.attempts.refusal(reason, RETRY_SECONDS);
	}

	// Runs the request at a decode engine.
	// @return whether the answer is complete
	private boolean decode(DecodePlace place)
			throws NotRunException, UnknownOutcomeException, RefusalException, IOException {
		boolean sent = false;
		try {
			choosePrompt(place);
			if (this.call.isOver()) {
				throw NotRunException.notSent("the time was over, or the caller gone, before the request was sent");
			}
			if (!this.services.takesWork(place.engine())) {
				throw NotRunException.notSent("engine " + place.engine().id() + " left before the request was sent");
			}
			sent = true;
			return stream(place);
		}
		catch (NotRunException ex) {
			if (ex.hasArrived()) {
				// An engine that granted the reservation and refuses now is about to
				// leave.
				this.services.health().refused(place.engine().id(), System.nanoTime());
				this.promptRefusals++;
			}
			throw ex;
		}
		finally {
			if (!sent) {
				releaseReservation(place);
			}
		}
	}

	// Keeps the prompt that an earlier engine refused, or has it read.
	private void choosePrompt(DecodePlace place) {
		PrefilledPrompt kept = this.prompt;
		if (kept != null && this.promptRefusals < MAX_PROMPT_REFUSALS
				&& kept.isUsable(this.traits.handleMillis(), System.nanoTime())) {
			return;
		}
		dropPrompt();
		this.prompt = prefill(place);
		this.promptRefusals = 0;
	}

	private void dropPrompt() {
		PrefilledPrompt kept = this.prompt;
		if (kept == null) {
			return;
		}
		this.prompt = null;
		this.services.metrics().wastedPrompt(this.call.fields().promptTokens());
		try {
			this.services.engines().releaseHandle(kept.engine(), kept.handle());
		}
		catch (HttpException ex) {
			this.services.log().problem("a handle at " + kept.engine().id() + " is left to lapse", ex);
		}
	}

	// Has the prompt read by a prefill engine.
	// @return the prompt, or {@code null} if the decode engine has to read it
	private @Nullable PrefilledPrompt prefill(DecodePlace place) {
		Set<String> tried = new HashSet<>();
		boolean repeat = this.attempts.hasArrived();
		for (int i = 0; i < PREFILL_TRIES && !this.call.isOver(); i++) {
			List<RegisteredEndpoint> engines = this.services.engines(this.call.service(), EndpointPhase.PREFILL);
			RegisteredEndpoint engine = this.services.picker()
				.leastTokens(engines, tried, place.engine().dataCentre(), System.nanoTime());
			if (engine == null || !PromptReader.isReadApart(this.call.fields().promptTokens(),
					this.services.loads().total(engine.id()).tokens())) {
				return null;
			}
			tried.add(engine.id());
			if (!this.services.mayTakeCold(engine)) {
				continue;
			}
			if (repeat && !this.services.tryRepeat(this.call.service())) {
				return null;
			}
			try {
				return prefill(engine);
			}
			catch (NotRunException ex) {
				repeat |= ex.hasArrived();
				this.services.health().refused(engine.id(), System.nanoTime());
				this.attempts.log(engine, "prefill not run", ex.getMessage());
			}
			catch (UnknownOutcomeException | HttpException ex) {
				repeat = true;
				this.attempts.log(engine, "prefill lost", String.valueOf(ex.getMessage()));
			}
		}
		return null;
	}

	private PrefilledPrompt prefill(RegisteredEndpoint engine)
			throws NotRunException, UnknownOutcomeException, HttpException {
		long tokens = Math.max(1, this.call.fields().promptTokens());
		long began = System.nanoTime();
		this.services.loads().begin(engine.id(), tokens);
		EndpointFields fields = new EndpointFields(engine.id(), this.call.team(), this.call.endpointMillis(), true,
				null, null, NO_URGENCY, null);
		Duration timeout = Duration.ofMillis(Math.max(1, Math.min(PREFILL_MILLIS, this.call.leftMillis())));
		try (HttpResponse response = this.services.client().send(this.call, engine, fields, POOLED_IDLE, timeout)) {
			byte[] body = response.bytes(MAX_HANDLE_BYTES);
			String handle = (response.status() == SUCCESS) ? this.services.engines().prefillHandle(body) : null;
			long millis = (System.nanoTime() - began) / 1_000_000;
			this.services.health().answered(engine.id(), millis, handle == null, System.nanoTime());
			if (handle == null) {
				throw new UnknownOutcomeException(engine.id() + " answered a prefill with " + response.status());
			}
			this.attempts.log(engine, "prefilled", "in " + millis + " ms");
			return new PrefilledPrompt(engine, handle, this.services.engines().cacheSource(engine, handle),
					System.nanoTime());
		}
		finally {
			this.call.handle().end();
			this.services.loads().end(engine.id(), tokens);
		}
	}

	private boolean stream(DecodePlace place) throws NotRunException, UnknownOutcomeException, IOException {
		RegisteredEndpoint engine = place.engine();
		PrefilledPrompt offered = this.prompt;
		EndpointFields fields = new EndpointFields(engine.id(), this.call.team(), this.call.endpointMillis(), false,
				(offered != null) ? offered.source() : null, place.reservation(), NO_URGENCY, this.events.lastId());
		boolean resumable = this.call.route().resumable();
		Duration silence = Duration.ofMillis(Math.max(1, this.call.leftMillis()));
		try (HttpResponse response = this.services.client().send(this.call, engine, fields, POOLED_IDLE, silence)) {
			this.attempts.ran();
			this.prompt = null;
			if (response.status() != SUCCESS) {
				return failure(engine, response);
			}
			if (!this.call.response().isStarted()) {
				this.call.response().start(response.status(), response.headers(), this.services.protocol());
			}
			response.setReadTimeout(resumable ? Duration.ofMillis(SILENCE_MILLIS) : silence);
			relay(response, engine);
			this.services.health().answered(engine.id(), 0, false, System.nanoTime());
			this.call.response().end();
			this.attempts.log(engine, "complete", this.events.events() + " events");
			return true;
		}
		catch (HttpException ex) {
			this.events.dropPartial();
			if (!this.call.isOver()) {
				this.services.health().unreachable(engine.id(), System.nanoTime());
			}
			this.attempts.log(engine, "broken", String.valueOf(ex.getMessage()));
			return false;
		}
		finally {
			this.call.handle().end();
		}
	}

	private void relay(HttpResponse response, RegisteredEndpoint engine) throws HttpException, IOException {
		ByteBuffer bytes = next(response, engine);
		boolean first = this.events.events() == 0;
		while (bytes != null) {
			ByteBuffer whole = this.events.take(bytes);
			if (whole.hasRemaining()) {
				if (first) {
					first = false;
					this.services.metrics().firstByte(this.call.route().kind().name(), this.call.ageMillis());
				}
				this.call.response().write(whole);
			}
			bytes = next(response, engine);
		}
		if (this.events.rest().hasRemaining()) {
			this.call.response().write(this.events.rest());
		}
	}

	// Waits for more of the stream. Silence alone does not end it: a preempted request
	// goes on when its engine has memory again.
	private @Nullable ByteBuffer next(HttpResponse response, RegisteredEndpoint engine) throws HttpException {
		while (true) {
			try {
				return response.next();
			}
			catch (ResponseTimeoutException ex) {
				if (this.call.isOver() || hasSuccessor(engine)) {
					throw ex;
				}
				this.attempts.log(engine, "silent", "no other engine can go on with the stream");
			}
		}
	}

	private boolean hasSuccessor(RegisteredEndpoint engine) {
		if (!this.call.route().resumable() || !this.attempts.mayRunAgain()) {
			return false;
		}
		DecodePlace place = places().tryElsewhere(engine);
		this.successor = (place != null) ? permitted(place) : null;
		return this.successor != null;
	}

	// An engine answered with a failure, so it ran the request.
	private boolean failure(RegisteredEndpoint engine, HttpResponse response) throws HttpException, IOException {
		byte[] body = response.bytes(MAX_HANDLE_BYTES * 16);
		this.services.health().answered(engine.id(), 0, response.status() >= SERVER_ERROR, System.nanoTime());
		this.attempts.log(engine, Integer.toString(response.status()), "");
		if (this.call.response().isStarted() || (response.status() >= SERVER_ERROR && this.attempts.mayRunAgain())) {
			return false;
		}
		this.call.response().send(response.status(), response.headers(), body, this.services.protocol());
		return true;
	}

	private void releaseReservation(DecodePlace place) {
		try {
			this.services.engines().releaseReservation(place.engine(), place.reservation());
		}
		catch (HttpException ex) {
			this.services.log().problem("a reservation at " + place.engine().id() + " is left to lapse", ex);
		}
	}

}
