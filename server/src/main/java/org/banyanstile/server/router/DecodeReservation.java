package org.banyanstile.server.router;

import org.banyanstile.core.catalog.RegisteredEndpoint;
import org.banyanstile.server.scheduling.SchedulerTicket;
import org.jspecify.annotations.Nullable;

/**
 * Memory reserved at a decode engine.
 *
 * @param engine the engine
 * @param id id of the reservation
 * @param tokens reserved tokens
 * @param ticket placement of which the fleet's scheduler knows, {@code null} if there is
 * none
 * @param scheduled whether the scheduler chose the engines
 * @author banyanstile contributors
 */
record DecodeReservation(RegisteredEndpoint engine, String id, long tokens, @Nullable SchedulerTicket ticket,
		boolean scheduled) {

	/**
	 * Returns the engine that the scheduler chose for the prompt.
	 * @return its id, {@code null} if the decode engine should prefill the prompt or no
	 * scheduler chose
	 */
	@Nullable
	String prefillEngine() {
		return (this.ticket != null) ? this.ticket.prefillEngine() : null;
	}

	boolean isPrefillAtDecodeEngine() {
		return this.scheduled && prefillEngine() == null;
	}

	/**
	 * Reports that an engine has prefilled the prompt.
	 * @param engineId id of the engine
	 * @param millis time from the request to the response of the engine
	 */
	void prefilled(String engineId, long millis) {
		if (this.ticket != null) {
			this.ticket.prefilled(engineId, millis);
		}
	}

	/**
	 * Tells the scheduler that the memory is free again.
	 * @param streamMillis time from the first event to the end, 0 if there was none
	 */
	void end(long streamMillis) {
		if (this.ticket != null) {
			this.ticket.close(streamMillis);
		}
	}

}
