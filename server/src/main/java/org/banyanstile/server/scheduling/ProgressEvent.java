package org.banyanstile.server.scheduling;

/**
 * Event of a request that its scheduler has to know. The ordinal is sent to other VMs.
 *
 * @author banyanstile contributors
 */
enum ProgressEvent {

	/**
	 * An engine has prefilled the prompt.
	 */
	PREFILLED,

	/**
	 * The request has ended or was given up.
	 */
	ENDED,

	/**
	 * An engine refused the reservation.
	 */
	ENGINE_REFUSED

}
