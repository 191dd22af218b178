package org.banyanstile.server.router;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;

import org.banyanstile.core.catalog.EngineTraits;
import org.banyanstile.core.catalog.RegisteredEndpoint;
import org.banyanstile.core.limit.BodyBudget;
import org.banyanstile.core.stream.EventSequence;
import org.banyanstile.io.http.BodyChunks;
import org.banyanstile.io.http.BodyMemoryException;
import org.banyanstile.io.http.ConnectionBrokenException;
import org.banyanstile.io.http.HttpException;
import org.banyanstile.io.http.HttpResponse;
import org.banyanstile.io.http.ResponseTimeoutException;
import org.banyanstile.server.canary.RunOutcome;
import org.jspecify.annotations.Nullable;

/**
 * Serves a generation request: reserves memory at a decode engine, prefills the prompt at
 * a prefill engine, and forwards the stream as it arrives. A broken stream fails over to
 * another engine of the same software version if the route allows it.
 *
 * @author banyanstile contributors
 */
final class GenerationRun {

	/**
	 * {@code Retry-After} for a generation that has not run although it had a
	 * reservation, which means that engines are failing or shutting down.
	 */
	private static final double RETRY_AFTER_SECONDS = 1;

	static final int SUCCESS = 200;

	private static final int SERVER_ERROR = 500;

	private static final String CONTENT_TYPE = "Content-Type";

	private static final int MAX_FAILURE_BYTES = 64 * 1024;

	/**
	 * Time without an event after which a resumable stream fails over, if another engine
	 * has memory for it. Events of a healthy engine are 50 to 90 ms apart, and callers
	 * time out after 2 s or more.
	 */
	private static final long SILENCE_TIMEOUT_MILLIS = 1300;

	/**
	 * Largest size of an event, some hundred times that of the largest usual one.
	 */
	private static final int MAX_EVENT_BYTES = 256 * 1024;

	/**
	 * Number of decode engines that may refuse a request with the same prefilled prompt
	 * before the prompt is prefilled again.
	 */
	private static final int MAX_PROMPT_REFUSALS = 2;

	/**
	 * Ratio of reserved output tokens to the caller's estimate, which is accurate at the
	 * median.
	 */
	private static final double OUTPUT_RESERVATION_RATIO = 1.1;

	static final Duration MAX_POOLED_IDLE = Duration.ofMillis(300);

	/**
	 * Generations have no urgency at the engine: a more urgent one would preempt running
	 * ones, whose prompts would have to be prefilled again. The admission queue, which a
	 * request passes before its reservation, orders them by priority.
	 */
	static final int NO_URGENCY = -1;

	/**
	 * Interval at which the memory of a running generation is recorded.
	 */
	private static final long MEMORY_RECORD_MILLIS = 500;

	private final RouterServices services;

	private final RouterCall call;

	private final EngineTraits traits;

	private final EventSequence sequence;

	private final EventSplitter splitter;

	private final StreamTiming timing = new StreamTiming();

	private final CallAttempts attempts;

	private final CrashGuard crashGuard;

	private final PromptPrefill promptPrefill;

	/**
	 * Prefilled prompt that no decode engine has taken over yet.
	 */
	private @Nullable PrefilledPrompt prefilledPrompt;

	/**
	 * Number of decode engines that refused the request with this prompt. The second
	 * refusal may mean that the KV cache of the prompt no longer exists.
	 */
	private int promptRefusals;

	/**
	 * Decode engine that is prefilling the prompt itself.
	 */
	private @Nullable DecodeReservation prefillingReservation;

	private long prefillBeganMillis;

	/**
	 * Reservation at the engine that the stream fails over to.
	 */
	private @Nullable DecodeReservation failoverReservation;

	private long attemptStartMillis;

	/**
	 * Age of the request up to which the memory of its generation has been recorded.
	 */
	private long memoryRecordedMillis;

	/**
	 * Content type of the response that the caller receives.
	 */
	private String contentType = "";

	/**
	 * Software version of the engine that began the stream, {@code null} before. No other
	 * version can continue it.
	 */
	private @Nullable String version;

	private GenerationRun(RouterServices services, RouterCall call, EngineTraits traits) {
		this.services = services;
		this.call = call;
		this.traits = traits;
		this.sequence = EventSequence.createAfter(call.route().resumable() ? call.fields().lastEventId() : null);
		this.splitter = new EventSplitter(this.sequence);
		this.attempts = new CallAttempts(services, call);
		this.crashGuard = new CrashGuard(services, call);
		this.promptPrefill = new PromptPrefill(services, call, this.attempts, this.crashGuard);
	}

	static GenerationRun create(RouterServices services, RouterCall call, EngineTraits traits) {
		return new GenerationRun(services, call, traits);
	}

	private long requiredTokens() {
		CallerFields fields = this.call.fields();
		long output = fields.maxOutputTokens();
		if (fields.expectedOutputTokens() >= 0) {
			output = Math.min(output, (long) (OUTPUT_RESERVATION_RATIO * fields.expectedOutputTokens()));
		}
		return Math.max(0, fields.promptTokens()) + Math.max(1, output);
	}

	void serve() throws RejectionException, IOException {
		try {
			run();
		}
		finally {
			recordMemory(0);
			this.crashGuard.close();
			discardPrompt();
			if (this.failoverReservation != null) {
				releaseReservation(this.failoverReservation);
			}
		}
	}

	private void run() throws RejectionException, IOException {
		this.version = this.services.streamVersions().resumedVersion(this.call);
		String reason = "no engine accepted the request before its deadline";
		while (!this.call.isCancelledOrTimedOut()) {
			double refusedSeconds = this.crashGuard.refusedSeconds();
			if (refusedSeconds > 0) {
				throw this.crashGuard.rejection(this.attempts, refusedSeconds);
			}
			DecodeReservation reservation = nextReservation();
			if (reservation == null) {
				reason = "the retry budget is exhausted";
				break;
			}
			this.services.loads().begin(reservation.engine().id(), reservation.tokens());
			try {
				if (decode(reservation)) {
					return;
				}
				reason = "the stream broke before its end";
				if (!mayContinueElsewhere()) {
					break;
				}
			}
			catch (NotRunException ex) {
				reason = String.valueOf(ex.getMessage());
				this.attempts.recordNotRun(reservation.engine(), ex);
			}
			catch (UnknownOutcomeException ex) {
				reason = String.valueOf(ex.getMessage());
				// The engine may have taken over the prefilled prompt.
				this.promptRefusals = MAX_PROMPT_REFUSALS;
				this.attempts.recordUnknownOutcome(reservation.engine(), ex);
				if (ex.isConnectionBroken()) {
					this.crashGuard.connectionBroken(reservation.engine());
				}
				if (!this.attempts.mayRetryAfterRun()) {
					break;
				}
			}
			finally {
				this.services.loads().end(reservation.engine().id(), reservation.tokens());
				reservation.end(this.timing.millisSinceFirstEvent(this.call.ageMillis()));
				this.services.admissionQueue(this.call.service()).memoryFreed();
			}
		}
		fail(reason);
	}

	// A generation is counted while it runs: it lasts for seconds, and its prompt is
	// counted at once.
	private void recordMemory(long minMillis) {
		long from = Math.max(this.timing.firstEventMillis(), this.memoryRecordedMillis);
		long now = this.call.ageMillis();
		if (this.timing.firstEventMillis() >= 0 && now - from >= minMillis) {
			this.memoryRecordedMillis = now;
			this.services.observations().needed(this.call.service(), requiredTokens(), now - from);
		}
	}

	// Without event ids another engine would repeat what the caller has received.
	private boolean mayContinueElsewhere() {
		return this.attempts.mayRetryAfterRun() && this.sequence.isResumable();
	}

	private DecodeReservations reservations() {
		return new DecodeReservations(this.services, this.call, this.traits, requiredTokens(), this.version);
	}

	// Returns the failover reservation if there is one, else waits for a reservation.
	// @return the reservation, or {@code null} if the retry budget is exhausted
	private @Nullable DecodeReservation nextReservation() throws RejectionException {
		DecodeReservation reserved = this.failoverReservation;
		if (reserved != null) {
			this.failoverReservation = null;
			return reserved;
		}
		long askedAtMillis = this.call.ageMillis();
		try {
			return releaseUnlessPermitted(reservations().awaitReservation());
		}
		finally {
			this.services.observations()
				.needed(this.call.service(), requiredTokens(), this.call.ageMillis() - askedAtMillis);
		}
	}

	private @Nullable DecodeReservation releaseUnlessPermitted(DecodeReservation reservation) {
		if (this.attempts.tryAcquireAttempt()) {
			return reservation;
		}
		releaseReservation(reservation);
		return null;
	}

	private void fail(String reason) throws RejectionException {
		if (this.call.response().isStarted()) {
			this.services.log()
				.request("stream broken", this.call.id(), "reason", reason, "events", this.splitter.eventCount(),
						"ageMillis", this.call.ageMillis());
			this.call.response().abort();
			return;
		}
		throw this.attempts.rejection(reason, RETRY_AFTER_SECONDS);
	}

	// Runs the request at a decode engine.
	// @return whether the response is complete
	private boolean decode(DecodeReservation reservation)
			throws NotRunException, UnknownOutcomeException, RejectionException, IOException {
		boolean sent = false;
		try {
			preparePrompt(reservation);
			if (this.call.isCancelledOrTimedOut()) {
				throw NotRunException
					.notSent("the caller disconnected or the deadline passed before the request was sent");
			}
			if (this.crashGuard.isRefused()) {
				throw NotRunException.notSent("engines crashed under requests that share a trait with this one");
			}
			if (!this.services.isUsableInCurrentRole(reservation.engine())) {
				throw NotRunException.notSent("engine " + reservation.engine().id()
						+ " became unavailable or began to change its role before the request was sent");
			}
			sent = true;
			return stream(reservation);
		}
		catch (NotRunException ex) {
			if (ex.hasReachedEndpoint()) {
				// An engine that granted the reservation and now refuses the request is
				// about to shut down.
				this.services.health().refused(reservation.engine().id(), System.nanoTime());
				this.promptRefusals++;
			}
			throw ex;
		}
		finally {
			if (!sent) {
				releaseReservation(reservation);
			}
		}
	}

	// Keeps the prefilled prompt of a refused request while it is usable, else prefills
	// the prompt again.
	private void preparePrompt(DecodeReservation reservation) {
		PrefilledPrompt kept = this.prefilledPrompt;
		if (kept != null && this.promptRefusals < MAX_PROMPT_REFUSALS
				&& kept.engine().hasVersionOf(reservation.engine())
				&& kept.isUsable(this.traits.handleMillis(), System.nanoTime())) {
			return;
		}
		discardPrompt();
		this.prefilledPrompt = this.promptPrefill.prefill(reservation);
		this.promptRefusals = 0;
	}

	private void discardPrompt() {
		PrefilledPrompt kept = this.prefilledPrompt;
		if (kept == null) {
			return;
		}
		this.prefilledPrompt = null;
		this.services.metrics().wastedPrompt(this.call.fields().promptTokens());
		try {
			this.services.engineCalls().releaseHandle(kept.engine(), kept.handle());
		}
		catch (HttpException ex) {
			this.services.log()
				.problem("KV handle at " + kept.engine().id() + " was not released and remains until it expires", ex);
		}
	}

	private boolean stream(DecodeReservation reservation) throws NotRunException, UnknownOutcomeException, IOException {
		RegisteredEndpoint engine = reservation.engine();
		PrefilledPrompt offered = this.prefilledPrompt;
		EndpointFields fields = new EndpointFields(engine.id(), this.call.team(), this.call.endpointTimeoutMillis(),
				false, (offered != null) ? offered.cacheSource() : null, reservation.id(), NO_URGENCY,
				this.splitter.lastEventId());
		boolean resumable = this.call.route().resumable();
		Duration responseTimeout = Duration.ofMillis(Math.max(1, this.call.remainingMillis()));
		int earlierEvents = this.splitter.eventCount();
		this.attempts.beginAttempt(engine);
		this.attemptStartMillis = this.call.ageMillis();
		beginPrefillAtDecodeEngine(reservation, offered == null);
		try (HttpResponse response = this.services.client()
			.send(this.call, engine, fields, MAX_POOLED_IDLE, responseTimeout)) {
			this.attempts.recordRun();
			this.prefilledPrompt = null;
			if (response.status() != SUCCESS) {
				return handleFailure(engine, response);
			}
			startOrContinue(response, engine);
			response.setReadTimeout(resumable ? Duration.ofMillis(SILENCE_TIMEOUT_MILLIS) : responseTimeout);
			try (BodyBudget.Lease lease = this.services.bodies().response(engine.id())) {
				relay(response, engine, lease);
			}
			this.services.health().answered(engine.id(), 0, false, System.nanoTime());
			recordEnd(engine, RunOutcome.ANSWERED);
			this.call.response().end();
			this.services.streamVersions().completed(this.call);
			recordComplete(engine);
			return true;
		}
		catch (HttpException | StreamMismatchException ex) {
			this.splitter.resume();
			this.services.metrics().exchangeFailed(engine.id(), ex);
			if (this.splitter.eventCount() == earlierEvents) {
				this.services.rollouts()
					.began(engine, this.call.route().name(), this.call.ageMillis() - this.attemptStartMillis);
			}
			if (ex instanceof BodyMemoryException) {
				this.services.metrics().bodyRejected("response");
			}
			if (!this.call.isCancelledOrTimedOut()) {
				this.services.health().unreachable(engine.id(), System.nanoTime());
				recordEnd(engine, RunOutcome.BROKEN);
			}
			if (ex instanceof ConnectionBrokenException) {
				this.crashGuard.connectionBroken(engine);
			}
			this.attempts.logBrokenStream(engine, String.valueOf(ex.getMessage()),
					this.splitter.eventCount() - earlierEvents);
			return false;
		}
		finally {
			endPrefillAtDecodeEngine();
			this.call.callHandle().end();
		}
	}

	// The caller keeps the head of the first response.
	private void startOrContinue(HttpResponse response, RegisteredEndpoint engine)
			throws StreamMismatchException, IOException {
		RegisteredEndpoint registered = this.services.view().snapshot().all().get(engine.id());
		if (registered != null && !registered.hasVersionOf(engine)) {
			throw new StreamMismatchException(
					engine.id() + " was replaced by software version " + registered.version());
		}
		String type = String.valueOf(response.header(CONTENT_TYPE)).split(";", 2)[0].strip();
		if (!this.call.response().isStarted()) {
			this.contentType = type;
			this.version = engine.version();
			this.services.streamVersions().began(this.call, engine);
			this.call.response().start(response.status(), response.headers(), this.services.protocol());
		}
		else if (!type.equalsIgnoreCase(this.contentType)) {
			throw new StreamMismatchException(
					engine.id() + " sent content of type " + type + " instead of " + this.contentType);
		}
	}

	private void relay(HttpResponse response, RegisteredEndpoint engine, BodyBudget.Lease lease)
			throws HttpException, StreamMismatchException, IOException {
		int earlierEvents = this.splitter.eventCount();
		long progressAt = this.call.ageMillis();
		ByteBuffer bytes = next(response, engine);
		while (bytes != null) {
			boolean first = this.splitter.eventCount() == earlierEvents;
			boolean forwarded = forwardEvents(bytes, engine);
			if (first && forwarded) {
				this.services.rollouts()
					.began(engine, this.call.route().name(), this.call.ageMillis() - this.attemptStartMillis);
			}
			if (this.splitter.isOutOfSequence()) {
				throw new StreamMismatchException(
						engine.id() + " sent an event that does not follow event " + this.splitter.lastEventId());
			}
			if (forwarded) {
				progressAt = this.call.ageMillis();
			}
			else if (this.splitter.pendingBytes() > MAX_EVENT_BYTES) {
				throw new ConnectionBrokenException(
						engine.id() + " sent an event of more than " + MAX_EVENT_BYTES + " bytes", null);
			}
			else if (this.call.ageMillis() - progressAt > SILENCE_TIMEOUT_MILLIS) {
				// Bytes alone are no progress: an engine may send some without ever
				// completing an event.
				if (tryReserveFailover(engine)) {
					throw new ResponseTimeoutException(
							engine.id() + " completed no event for " + SILENCE_TIMEOUT_MILLIS + " ms", null);
				}
				progressAt = this.call.ageMillis();
			}
			if (!lease.tryResize(EventSplitter.BUFFERS * this.splitter.pendingBytes())) {
				throw new BodyMemoryException("no memory for an event from " + engine.id() + " of "
						+ this.splitter.pendingBytes() + " bytes");
			}
			bytes = next(response, engine);
		}
		if (this.splitter.pendingBytes() > 0) {
			throw new ConnectionBrokenException(engine.id() + " ended its stream inside an event", null);
		}
		// Without a length or chunks, a crash before the first event looks like an end.
		if (this.splitter.eventCount() == earlierEvents && !response.isDelimited()) {
			throw new ConnectionBrokenException(engine.id() + " closed its stream without an event", null);
		}
	}

	// Forwards the events that the bytes complete.
	// @return whether there was one
	private boolean forwardEvents(ByteBuffer bytes, RegisteredEndpoint engine) throws IOException {
		int earlierEvents = this.splitter.eventCount();
		ByteBuffer completeEvents = this.splitter.append(bytes);
		if (!completeEvents.hasRemaining()) {
			return false;
		}
		if (earlierEvents == 0) {
			this.crashGuard.answered();
			this.services.metrics().firstEvent(this.call.route().kind().name(), this.call.ageMillis());
		}
		if (this.prefillingReservation != null) {
			this.prefillingReservation.prefilled(engine.id(), this.call.ageMillis() - this.prefillBeganMillis);
		}
		endPrefillAtDecodeEngine();
		this.timing.eventsArrived(this.splitter.eventCount() - earlierEvents, this.call.ageMillis());
		recordMemory(MEMORY_RECORD_MILLIS);
		this.call.response().write(completeEvents);
		return true;
	}

	private void beginPrefillAtDecodeEngine(DecodeReservation reservation, boolean prefills) {
		if (prefills) {
			this.prefillingReservation = reservation;
			this.prefillBeganMillis = this.call.ageMillis();
			this.services.loads().beginPrefill(reservation.engine().id(), this.call.fields().promptTokens());
			this.services.observations()
				.prefill(this.call.service(), reservation.engine().id(), this.call.fields().promptTokens());
		}
	}

	private void endPrefillAtDecodeEngine() {
		DecodeReservation reservation = this.prefillingReservation;
		if (reservation != null) {
			this.prefillingReservation = null;
			this.services.loads().endPrefill(reservation.engine().id(), this.call.fields().promptTokens());
		}
	}

	private void recordComplete(RegisteredEndpoint engine) {
		this.services.observations()
			.streamed(engine.id(), this.timing.events() - 1,
					this.timing.lastEventMillis() - this.timing.firstEventMillis());
		this.services.metrics().longestPause(this.call.route().kind().name(), this.timing.longestPauseMillis());
		this.attempts.log(engine, "complete",
				this.splitter.eventCount() + " events, the first after " + this.timing.firstEventMillis()
						+ " ms, longest pause " + this.timing.longestPauseMillis() + " ms after event "
						+ this.timing.eventsAtLongestPause());
	}

	// Waits for more bytes of the stream. A read timeout alone does not end it: a
	// preempted request continues when its engine has memory again.
	private @Nullable ByteBuffer next(HttpResponse response, RegisteredEndpoint engine) throws HttpException {
		while (true) {
			try {
				return response.next();
			}
			catch (ResponseTimeoutException ex) {
				if (this.call.isCancelledOrTimedOut() || tryReserveFailover(engine)) {
					throw ex;
				}
				this.attempts.log(engine, "silent", "no other engine can take over the stream");
			}
		}
	}

	private boolean tryReserveFailover(RegisteredEndpoint engine) {
		if (!this.call.route().resumable() || !mayContinueElsewhere()) {
			return false;
		}
		DecodeReservation reservation = reservations().tryReserveElsewhere(engine);
		this.failoverReservation = (reservation != null) ? releaseUnlessPermitted(reservation) : null;
		return this.failoverReservation != null;
	}

	// Handles an error status, which means that the engine ran the request.
	private boolean handleFailure(RegisteredEndpoint engine, HttpResponse response) throws HttpException, IOException {
		try (BodyBudget.Lease lease = this.services.bodies().response(engine.id())) {
			BodyChunks body = response.body(MAX_FAILURE_BYTES, lease::tryAcquire);
			this.services.health().answered(engine.id(), 0, response.status() >= SERVER_ERROR, System.nanoTime());
			recordEnd(engine, (response.status() >= SERVER_ERROR) ? RunOutcome.FAILED : RunOutcome.ANSWERED);
			this.attempts.log(engine, Integer.toString(response.status()), "");
			if (this.call.response().isStarted()
					|| (response.status() >= SERVER_ERROR && this.attempts.mayRetryAfterRun())) {
				return false;
			}
			this.call.response().send(response.status(), response.headers(), body, this.services.protocol());
			return true;
		}
	}

	private void recordEnd(RegisteredEndpoint engine, RunOutcome outcome) {
		this.services.rollouts()
			.ended(engine, this.call.route().name(), outcome, this.call.ageMillis() - this.attemptStartMillis);
	}

	private void releaseReservation(DecodeReservation reservation) {
		reservation.end(0);
		try {
			this.services.engineCalls().releaseReservation(reservation.engine(), reservation.id());
		}
		catch (HttpException ex) {
			this.services.log()
				.problem("reservation at " + reservation.engine().id()
						+ " was not released and remains until it expires", ex);
		}
	}

}
