package org.banyanstile.server.scheduling;

/**
 * Reply of a scheduler to a message about a request.
 *
 * @author banyanstile contributors
 */
sealed interface SchedulerReply permits PlacedReply, QueuedReply, RefusedReply {

	/**
	 * Returns the scheduler.
	 * @return name of its VM
	 */
	String vm();

	/**
	 * Returns the group of engines.
	 * @return the group
	 */
	EngineGroup group();

	/**
	 * Returns the id of the request.
	 * @return the id
	 */
	String requestId();

}
