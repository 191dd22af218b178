package org.banyanstile.server.router;

import java.time.Duration;
import java.util.function.Consumer;

import org.banyanstile.core.catalog.EndpointRole;
import org.banyanstile.core.catalog.RegisteredEndpoint;
import org.banyanstile.io.http.HttpException;
import org.jspecify.annotations.Nullable;

/**
 * Calls to engines that are not requests of a caller.
 *
 * @author banyanstile contributors
 */
public interface EngineCalls {

	/**
	 * Sets the listener for engines that leave. Called before the first call to an
	 * engine.
	 * @param listener called with each engine that says in a response that it leaves
	 */
	void onLeaving(Consumer<RegisteredEndpoint> listener);

	/**
	 * Reserves memory and an endpoint slot at a decode engine.
	 * @param engine the engine
	 * @param tokens tokens of the prompt and the output
	 * @param lifetime time after which an unused reservation expires
	 * @return id of the reservation, or {@code null} if the engine has no free memory or
	 * slot
	 * @throws HttpException if the engine did not respond
	 */
	@Nullable
	String reserve(RegisteredEndpoint engine, long tokens, Duration lifetime) throws HttpException;

	/**
	 * Releases an unused reservation.
	 * @param engine the engine
	 * @param reservation id of the reservation
	 * @throws HttpException if the engine did not respond
	 */
	void releaseReservation(RegisteredEndpoint engine, String reservation) throws HttpException;

	/**
	 * Reads the handle from the response to a prefill request.
	 * @param body body of the response
	 * @return the handle, or {@code null} if the response is malformed
	 */
	@Nullable
	String prefillHandle(byte[] body);

	/**
	 * Returns the location of a KV cache in the form in which a decode engine expects it.
	 * @param engine the prefill engine
	 * @param handle the handle
	 * @return the location
	 */
	String cacheSource(RegisteredEndpoint engine, String handle);

	/**
	 * Frees the KV cache of an unused handle.
	 * @param engine the prefill engine
	 * @param handle the handle
	 * @throws HttpException if the engine did not respond
	 */
	void releaseHandle(RegisteredEndpoint engine, String handle) throws HttpException;

	/**
	 * Orders an engine to change its role.
	 * @param engine the engine
	 * @param role the new role
	 * @param owner name of this VM
	 * @param fencingToken fencing token of the owner of role changes
	 * @return the outcome
	 * @throws HttpException if the engine did not respond, so the outcome is unknown
	 */
	OrderOutcome changeRole(RegisteredEndpoint engine, EndpointRole role, String owner, long fencingToken)
			throws HttpException;

	/**
	 * Outcome of a role-change order.
	 *
	 * @author banyanstile contributors
	 */
	enum OrderOutcome {

		/**
		 * The engine carries out the order or already has the role.
		 */
		ACCEPTED,

		/**
		 * The engine is carrying out another order, or has accepted another order since
		 * its state was read.
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
