package org.banyanstile.server.router;

import java.time.Duration;

import org.banyanstile.core.catalog.EndpointPhase;
import org.banyanstile.core.catalog.RegisteredEndpoint;
import org.banyanstile.io.http.HttpException;
import org.jspecify.annotations.Nullable;

/**
 * Calls to an engine that carry no request of a caller.
 *
 * @author banyanstile contributors
 */
public interface EngineCalls {

	/**
	 * Reserves memory and a slot at a decode engine.
	 * @param engine the engine
	 * @param tokens tokens of prompt and output
	 * @param life how long the reservation holds
	 * @return id of the reservation, or {@code null} if there is no room
	 * @throws HttpException if the engine did not answer
	 */
	@Nullable
	String reserve(RegisteredEndpoint engine, long tokens, Duration life) throws HttpException;

	/**
	 * Releases a reservation that is not used.
	 * @param engine the engine
	 * @param reservation id of the reservation
	 * @throws HttpException if the engine did not answer
	 */
	void releaseReservation(RegisteredEndpoint engine, String reservation) throws HttpException;

	/**
	 * Reads the handle from the answer to a prefill request.
	 * @param answer body of the answer
	 * @return the handle, or {@code null} if the answer is malformed
	 */
	@Nullable
	String prefillHandle(byte[] answer);

	/**
	 * Names the KV cache behind a handle for a decode engine.
	 * @param engine the prefill engine
	 * @param handle the handle
	 * @return the source
	 */
	String cacheSource(RegisteredEndpoint engine, String handle);

	/**
	 * Frees the KV cache behind a handle that is not used.
	 * @param engine the prefill engine
	 * @param handle the handle
	 * @throws HttpException if the engine did not answer
	 */
	void releaseHandle(RegisteredEndpoint engine, String handle) throws HttpException;

	/**
	 * Orders an engine to change its part.
	 * @param engine the engine
	 * @param phase the new part
	 * @param owner name of this VM
	 * @param fencingToken token of the owner of orders
	 * @return the engine's answer
	 * @throws HttpException if the engine did not answer, so the outcome is unknown
	 */
	OrderOutcome changePhase(RegisteredEndpoint engine, EndpointPhase phase, String owner, long fencingToken)
			throws HttpException;

	/**
	 * An engine's answer to an order.
	 *
	 * @author banyanstile contributors
	 */
	enum OrderOutcome {

		/**
		 * The order is carried out, or already holds.
		 */
		ACCEPTED,

		/**
		 * Another order is carried out, or the engine has accepted orders since.
		 */
		CONFLICT,

		/**
		 * An owner with a higher fencing token has given orders.
		 */
		FENCED,

		/**
		 * The engine refused the order for another reason.
		 */
		REFUSED

	}

}
