package org.banyanstile.server.caller;

import org.banyanstile.core.common.DataCentreId;
import org.banyanstile.server.endpoint.EndpointBrokenException;
import org.banyanstile.server.endpoint.EndpointException;
import org.banyanstile.server.endpoint.EndpointRefusedException;
import org.banyanstile.server.endpoint.Prefill;
import org.banyanstile.server.endpoint.PrefillCall;
import org.banyanstile.server.endpoint.StreamLostException;

/**
 * One attempt to run a request on engines: a decode slot first, then prefill, then the
 * transfer, so that no prefill is computed for which no decode slot is free.
 *
 * @author banyanstile contributors
 */
final class EngineRun {

	/**
	 * Decode endpoints that are tried for one prefill result. It is retained for under a
	 * second and a stall is noticed after 200 ms.
	 */
	private static final int MAX_TRANSFERS = 3;

	private final RequestServices services;

	private final ChatRequest chat;

	private final CallControl control;

	private final RequestLabels labels;

	private final SlotFinder finder;

	private final String requestId;

	private final long waitUntil;

	EngineRun(RequestServices services, ChatRequest chat, CallControl control, RequestLabels labels, SlotFinder finder,
			String requestId, long waitUntil) {
		this.services = services;
		this.chat = chat;
		this.control = control;
		this.labels = labels;
		this.finder = finder;
		this.requestId = requestId;
		this.waitUntil = waitUntil;
	}

	/**
	 * Prepares the stream at a decode engine.
	 * @return the stream
	 * @throws RequestException if the request is refused or must end
	 * @throws EndpointException if an engine failed; all slots are released
	 */
	Handover prepare() throws RequestException, EndpointException {
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

	private SlotDecision.Granted decodeSlot(DataCentreId near) throws RequestException {
		this.control.check();
		return this.finder.find(PoolRole.DECODE, near, this.requestId, waitMillis());
	}

	private Prefill prefill(DataCentreId near) throws RequestException, EndpointException {
		this.control.check();
		SlotDecision.Granted slot = this.finder.find(PoolRole.PREFILL, near, this.requestId, waitMillis());
		SlotOutcome outcome = SlotOutcome.CANCELLED;
		String address = slot.endpoint().address();
		try {
			requireServing();
			this.control.onAbort(() -> this.services.canceller().cancel(address, this.requestId));
			Prefill prefill = this.services.engine()
				.prefill(address, new PrefillCall(this.requestId, this.chat.model(), this.chat.prompt(), 0));
			outcome = SlotOutcome.COMPLETED;
			this.services.metrics().prefillDone(this.labels, prefill.promptTokens());
			return prefill;
		}
		catch (EndpointException ex) {
			this.control.check();
			outcome = outcome(ex);
			this.finder.exclude(slot.endpoint().id());
			throw ex;
		}
		finally {
			this.control.clear();
			this.services.slots().release(slot, outcome);
		}
	}

	private Handover transfer(SlotDecision.Granted first, Prefill prefill) throws RequestException, EndpointException {
		SlotDecision.Granted slot = first;
		boolean done = false;
		try {
			for (int attempt = 1;; attempt++) {
				try {
					importTo(slot, prefill);
					done = true;
					return new Handover(this.requestId, slot);
				}
				catch (EndpointException ex) {
					if (attempt == MAX_TRANSFERS || isExpired(ex)) {
						throw ex;
					}
				}
				this.services.metrics().transferRerouted(this.labels);
				slot = decodeSlot(first.pool().dataCentre());
			}
		}
		finally {
			if (!done) {
				this.services.metrics().prefillWasted(this.labels, prefill.promptTokens());
				this.services.canceller().cancel(prefill.source(), this.requestId);
			}
		}
	}

	private void importTo(SlotDecision.Granted slot, Prefill prefill) throws RequestException, EndpointException {
		String address = slot.endpoint().address();
		SlotOutcome outcome = SlotOutcome.CANCELLED;
		boolean done = false;
		try {
			this.control.onAbort(() -> this.services.canceller().cancel(address, this.requestId));
			requireServing();
			this.services.engine().importKv(address, this.requestId, prefill);
			this.control.check();
			done = true;
		}
		catch (EndpointException ex) {
			this.control.check();
			outcome = outcome(ex);
			this.finder.exclude(slot.endpoint().id());
			throw ex;
		}
		finally {
			this.control.clear();
			if (!done) {
				this.services.canceller().cancel(address, this.requestId);
				this.services.slots().release(slot, outcome);
			}
		}
	}

	private void requireServing() throws RequestException {
		if (!this.services.serving().mayServe()) {
			throw RequestException.notRun(ErrorType.NOT_SERVING, "this VM may not serve now", 0);
		}
	}

	private long waitMillis() {
		return Math.max(0, (this.waitUntil - System.nanoTime()) / 1_000_000);
	}

	private static boolean isExpired(EndpointException ex) {
		return ex instanceof EndpointRefusedException refused && refused.status() == 410;
	}

	/**
	 * Returns what a failure says about the endpoint.
	 * @param ex the failure
	 * @return the outcome for its slot
	 */
	static SlotOutcome outcome(EndpointException ex) {
		if (ex instanceof EndpointBrokenException || ex instanceof StreamLostException) {
			return SlotOutcome.BROKEN;
		}
		// A refused connection shows that the request did not run, so it caused no crash.
		return SlotOutcome.FAILED;
	}

}
