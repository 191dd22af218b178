package org.banyanstile.server.caller;

import org.banyanstile.core.common.DataCentreId;
import org.banyanstile.server.endpoint.EndpointBrokenException;
import org.banyanstile.server.endpoint.EndpointException;
import org.banyanstile.server.endpoint.EndpointRefusedException;
import org.banyanstile.server.endpoint.Prefill;
import org.banyanstile.server.endpoint.PrefillCall;
import org.banyanstile.server.endpoint.StreamLostException;
import org.banyanstile.server.router.ResendLog;

/**
 * One attempt to run a request on engines. Acquires the decode slot before the prefill,
 * so that no prefill is computed for which no decode slot is free, and then transfers the
 * result.
 *
 * @author banyanstile contributors
 */
final class EngineRun {

	/**
	 * Decode endpoints that are tried for one prefill result. The result is retained for
	 * less than one second, and a stalled transfer is detected after 200 ms.
	 */
	private static final int MAX_TRANSFERS = 3;

	private final RequestServices services;

	private final ChatRequest chat;

	private final CallControl control;

	private final RequestLabels labels;

	private final SlotFinder finder;

	private final String requestId;

	private final long waitDeadlineNanos;

	private final ResendLog prefills;

	private final ResendLog transfers;

	EngineRun(RequestServices services, ChatRequest chat, CallControl control, RequestLabels labels, SlotFinder finder,
			String requestId, long waitDeadlineNanos, ResendLog prefills, ResendLog transfers) {
		this.services = services;
		this.chat = chat;
		this.control = control;
		this.labels = labels;
		this.finder = finder;
		this.requestId = requestId;
		this.waitDeadlineNanos = waitDeadlineNanos;
		this.prefills = prefills;
		this.transfers = transfers;
	}

	/**
	 * Prepares the stream at a decode engine.
	 * @return the stream
	 * @throws RequestException if the request was refused or aborted
	 * @throws EndpointException if an engine failed; all slots are released
	 */
	StreamHandle prepare() throws RequestException, EndpointException {
		SlotDecision.Granted slot = decodeSlot(this.services.dataCentre());
		Prefill prefill;
		try {
			prefill = prefill(slot.pool().dataCentre());
		}
		catch (EndpointException | RequestException | RuntimeException ex) {
			this.services.slots().release(slot, SlotOutcome.CANCELLED);
			throw ex;
		}
		return transfer(slot, prefill);
	}

	private SlotDecision.Granted decodeSlot(DataCentreId preferred) throws RequestException {
		this.control.throwIfAborted();
		return this.finder.find(PoolRole.DECODE, preferred, this.requestId, remainingWaitMillis());
	}

	private Prefill prefill(DataCentreId preferred) throws RequestException, EndpointException {
		this.control.throwIfAborted();
		SlotDecision.Granted slot = this.finder.find(PoolRole.PREFILL, preferred, this.requestId,
				remainingWaitMillis());
		SlotOutcome outcome = SlotOutcome.CANCELLED;
		String address = slot.endpoint().address();
		try {
			requireServing();
			this.control.onAbort(() -> this.services.canceller().cancel(address, this.requestId));
			this.prefills.begin(slot.endpoint().id().name());
			Prefill prefill = this.services.engine()
				.prefill(address, new PrefillCall(this.requestId, this.chat.model(), this.chat.prompt(), 0));
			outcome = SlotOutcome.COMPLETED;
			this.services.metrics().prefillDone(this.labels, prefill.promptTokens());
			return prefill;
		}
		catch (EndpointException ex) {
			this.prefills.end(slot.endpoint().id().name(), ex.proof());
			this.control.throwIfAborted();
			outcome = outcome(ex);
			this.finder.exclude(slot.endpoint().id());
			throw ex;
		}
		finally {
			this.control.clearAbortAction();
			this.services.slots().release(slot, outcome);
		}
	}

	private StreamHandle transfer(SlotDecision.Granted first, Prefill prefill)
			throws RequestException, EndpointException {
		SlotDecision.Granted slot = first;
		boolean transferred = false;
		try {
			for (int attempt = 1;; attempt++) {
				try {
					importTo(slot, prefill);
					transferred = true;
					return new StreamHandle(this.requestId, slot);
				}
				catch (EndpointException ex) {
					if (attempt == MAX_TRANSFERS || isPrefillExpired(ex)) {
						throw ex;
					}
				}
				this.services.metrics().transferRerouted(this.labels);
				slot = decodeSlot(first.pool().dataCentre());
			}
		}
		finally {
			if (!transferred) {
				this.services.metrics().prefillWasted(this.labels, prefill.promptTokens());
				this.services.canceller().cancel(prefill.source(), this.requestId);
			}
		}
	}

	private void importTo(SlotDecision.Granted slot, Prefill prefill) throws RequestException, EndpointException {
		String address = slot.endpoint().address();
		SlotOutcome outcome = SlotOutcome.CANCELLED;
		boolean transferred = false;
		try {
			this.control.onAbort(() -> this.services.canceller().cancel(address, this.requestId));
			requireServing();
			this.transfers.begin(slot.endpoint().id().name());
			this.services.engine().importKv(address, this.requestId, prefill);
			this.control.throwIfAborted();
			transferred = true;
		}
		catch (EndpointException ex) {
			this.transfers.end(slot.endpoint().id().name(), ex.proof());
			this.control.throwIfAborted();
			outcome = outcome(ex);
			this.finder.exclude(slot.endpoint().id());
			throw ex;
		}
		finally {
			this.control.clearAbortAction();
			if (!transferred) {
				this.services.canceller().cancel(address, this.requestId);
				this.services.slots().release(slot, outcome);
			}
		}
	}

	private void requireServing() throws RequestException {
		if (!this.services.serving().mayServe()) {
			throw RequestException.notRun(ErrorType.NOT_SERVING, "this VM is not allowed to serve now", 0);
		}
	}

	private long remainingWaitMillis() {
		return Math.max(0, (this.waitDeadlineNanos - System.nanoTime()) / 1_000_000);
	}

	private static boolean isPrefillExpired(EndpointException ex) {
		return ex instanceof EndpointRefusedException refused && refused.status() == 410;
	}

	/**
	 * Returns the slot outcome for a failure at an endpoint.
	 * @param ex the failure
	 * @return the outcome
	 */
	static SlotOutcome outcome(EndpointException ex) {
		if (ex instanceof EndpointBrokenException || ex instanceof StreamLostException) {
			return SlotOutcome.BROKEN;
		}
		// After a refused connection the request did not run, so it caused no crash.
		return SlotOutcome.FAILED;
	}

}
