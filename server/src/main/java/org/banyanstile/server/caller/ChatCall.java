package org.banyanstile.server.caller;

import java.io.IOException;
import java.util.Set;

import org.banyanstile.server.endpoint.EndpointException;
import org.banyanstile.server.endpoint.EndpointRefusedException;
import org.banyanstile.server.router.ResendLog;
import org.jspecify.annotations.Nullable;

/**
 * Runs one request for generated text. Used by one thread.
 *
 * @author banyanstile contributors
 */
final class ChatCall {

	/**
	 * A request that gets no slot within this time would miss the target for the first
	 * token and is refused before any work. The rest of the target is for prefill and
	 * transfer.
	 */
	private static final long SLOT_WAIT_MILLIS = 400;

	private static final int MAX_ATTEMPTS = 3;

	private static final long RETRY_AFTER_MILLIS = 100;

	private final RequestServices services;

	private final CallerRequest request;

	private final Caller caller;

	private final ChatRequest chat;

	private final ChatOutput output;

	private final CallControl control;

	private final RequestLabels labels;

	private final String id;

	private final String bodyHash;

	private final ResendLog prefills;

	private final ResendLog transfers;

	private final ResendLog streams;

	ChatCall(RequestServices services, CallerRequest request, Caller caller, ChatRequest chat, ChatOutput output,
			CallControl control, RequestLabels labels, String id) {
		this.services = services;
		this.request = request;
		this.caller = caller;
		this.chat = chat;
		this.output = output;
		this.control = control;
		this.labels = labels;
		this.id = id;
		this.bodyHash = Hashes.sha256(request.body());
		this.prefills = ResendLog.startingNow(services.log(), id, "prefill", true);
		this.transfers = ResendLog.startingNow(services.log(), id, "transfer", true);
		this.streams = ResendLog.startingNow(services.log(), id, "decode", true);
	}

	/**
	 * Runs the request to its end.
	 * @throws RequestException if it ends with an error
	 * @throws IOException if the caller has disconnected
	 */
	void run() throws RequestException, IOException {
		String idempotencyKey = this.request.idempotencyKey();
		if (idempotencyKey == null) {
			requireNothingReceived();
			runNew(new ChatRelay(this.services, this.chat, this.output, this.control, this.labels, -1, null));
			return;
		}
		StreamKey key = new StreamKey(this.caller.team(), Hashes.sha256(idempotencyKey));
		RunningStream stream = new RunningStream(this.bodyHash, this.control);
		RunningStream previous = this.services.running().register(key, stream);
		ChatRelay relay = new ChatRelay(this.services, this.chat, this.output, this.control, this.labels,
				this.request.lastEventId(), key);
		try {
			runIdempotent(key, previous, relay);
		}
		finally {
			if (this.services.running().unregister(key, stream)) {
				this.services.directory().withdraw(key);
			}
			stream.complete(relay.handover());
		}
	}

	private void runIdempotent(StreamKey key, @Nullable RunningStream previous, ChatRelay relay)
			throws RequestException, IOException {
		StreamHandle handover = (previous != null) ? previous.supersede() : null;
		CachedResponse response = this.services.responses().find(key);
		if (response != null) {
			replay(response);
			return;
		}
		if (handover == null) {
			handover = takeOver(key);
		}
		if (handover != null) {
			try {
				this.services.metrics().superseded(this.labels);
				relay(relay, handover);
				return;
			}
			catch (EndpointException ex) {
				this.control.throwIfAborted();
			}
		}
		if (this.output.hasSentText()) {
			throw RequestException.unknown(ErrorType.STREAM_LOST, "the engine lost the stream");
		}
		requireNothingReceived();
		try {
			runNew(relay);
		}
		catch (RequestException ex) {
			throw (handover != null) ? ex.afterAttempt() : ex;
		}
	}

	private @Nullable StreamHandle takeOver(StreamKey key) throws RequestException {
		TakeoverResult result = this.services.directory().takeOver(key, this.bodyHash);
		if (result instanceof TakeoverResult.OtherBody) {
			throw RequestException.notRun(ErrorType.KEY_REUSED, "the idempotency key was used with another body");
		}
		if (!(result instanceof TakeoverResult.Taken taken)) {
			return null;
		}
		return this.request.configuration()
			.endpoints()
			.stream()
			.filter((target) -> target.id().equals(taken.location().endpoint())
					&& target.pool().role() == PoolRole.DECODE)
			.findFirst()
			.map((target) -> new StreamHandle(taken.location().requestId(),
					new SlotDecision.Granted(target.pool(), taken.location().requestId(), target)))
			.orElse(null);
	}

	private void replay(CachedResponse response) throws RequestException, IOException {
		if (!response.bodyHash().equals(this.bodyHash)) {
			throw RequestException.notRun(ErrorType.KEY_REUSED, "the idempotency key was used with another body");
		}
		for (long i = this.request.lastEventId() + 1; i < response.tokens().size(); i++) {
			this.output.token(i, response.tokens().get((int) i));
		}
		this.output.finish(response.finish(), response.tokens().size());
		this.services.metrics().replayed(this.labels);
	}

	private void requireNothingReceived() throws RequestException {
		if (this.request.lastEventId() >= 0) {
			throw RequestException.unknown(ErrorType.STREAM_LOST, "the partly received stream cannot be continued");
		}
	}

	private void runNew(ChatRelay relay) throws RequestException, IOException {
		LimitDecision.Reserved reservation = reserve();
		this.services.metrics().accepted(this.labels);
		this.services.retries().requestStarted();
		try {
			runAttempts(relay);
		}
		finally {
			this.services.limiter().settle(reservation, relay.handedOver() ? this.chat.cost() : relay.usedTokens());
		}
	}

	private LimitDecision.Reserved reserve() throws RequestException {
		LimitDecision decision = this.services.limiter().reserve(this.caller.team(), this.chat.cost());
		if (decision instanceof LimitDecision.Limited limited) {
			throw RequestException.notRun(ErrorType.RATE_LIMITED, "the team exceeds its token rate",
					limited.retryAfterMillis());
		}
		if (decision instanceof LimitDecision.Reserved reserved) {
			return reserved;
		}
		throw RequestException.notRun(ErrorType.RATE_LIMITED, "the request needs more tokens than the team's burst");
	}

	private void runAttempts(ChatRelay relay) throws RequestException, IOException {
		long waitDeadlineNanos = System.nanoTime()
				+ Math.min(SLOT_WAIT_MILLIS, this.request.deadlineMillis()) * 1_000_000;
		SlotFinder finder = new SlotFinder(this.services, this.request.configuration(), demand());
		boolean mayHaveRun = false;
		for (int attempt = 1;; attempt++) {
			String requestId = this.id + "." + attempt;
			try {
				EngineRun run = new EngineRun(this.services, this.chat, this.control, this.labels, finder, requestId,
						waitDeadlineNanos, this.prefills, this.transfers);
				relay(relay, run.prepare());
				return;
			}
			catch (RequestException ex) {
				throw mayHaveRun ? ex.afterAttempt() : ex;
			}
			catch (EndpointException ex) {
				this.control.throwIfAborted();
				mayHaveRun |= ex.mayHaveRun();
				requireRetryAllowed(ex, attempt, mayHaveRun);
			}
		}
	}

	private void relay(ChatRelay relay, StreamHandle stream) throws RequestException, EndpointException, IOException {
		String endpoint = stream.slot().endpoint().id().name();
		this.streams.begin(endpoint);
		try {
			relay.run(stream, this.bodyHash);
		}
		catch (EndpointException ex) {
			this.streams.end(endpoint, ex.proof());
			throw ex;
		}
	}

	private void requireRetryAllowed(EndpointException ex, int attempt, boolean mayHaveRun) throws RequestException {
		if (this.output.hasSentText()) {
			throw RequestException.unknown(ErrorType.STREAM_LOST, "the engine lost the stream");
		}
		if (ex instanceof EndpointRefusedException refused && refused.status() == 400) {
			RequestException failure = RequestException.refusedByEndpoint(refused.status(),
					String.valueOf(refused.getMessage()));
			throw mayHaveRun ? failure.afterAttempt() : failure;
		}
		if (attempt == MAX_ATTEMPTS || !this.services.retries().tryRetry()) {
			RequestException failure = RequestException.notRun(ErrorType.OVERLOADED, "no engine completed the request",
					RETRY_AFTER_MILLIS);
			throw mayHaveRun ? failure.afterAttempt() : failure;
		}
		this.services.metrics().retried(this.labels);
	}

	private SlotDemand demand() {
		Pool pool = new Pool(this.services.dataCentre(), this.chat.model(), PoolRole.DECODE);
		return new SlotDemand(pool, this.caller.team(), this.chat.cost(), this.id, this.request.fingerprint(), 0,
				Set.of());
	}

}
