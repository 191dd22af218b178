package org.banyanstile.tools;

/**
 * Operator interface of the daemons.
 *
 * @author banyanstile contributors
 */
interface OperatorApi {

	/**
	 * Reads from the first VM that responds without a server error.
	 * @param path path with query
	 * @return the reply, a server error only if no VM sent another reply
	 * @throws NotReachableException if no VM responded
	 */
	OperatorReply get(String path) throws NotReachableException;

	/**
	 * Requests a new configuration from the first VM that accepts a connection.
	 * @param replaces version to replace
	 * @param json the configuration
	 * @return the reply
	 * @throws NotReachableException if no VM accepted a connection, so nothing was sent
	 * @throws OutcomeUnknownException if the request was sent and no reply arrived
	 */
	OperatorReply putConfiguration(long replaces, String json) throws NotReachableException, OutcomeUnknownException;

}
