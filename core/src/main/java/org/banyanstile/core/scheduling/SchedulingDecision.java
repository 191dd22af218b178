package org.banyanstile.core.scheduling;

/**
 * Decision on a request.
 *
 * @author banyanstile contributors
 */
public sealed interface SchedulingDecision permits EnginePlacement, SchedulingRefusal {

	/**
	 * Returns the id of the request.
	 * @return the id
	 */
	String requestId();

	/**
	 * Returns the VM that serves the request.
	 * @return its name
	 */
	String vm();

}
