package org.banyanstile.tools;

/**
 * Operator interface of the daemons.
 *
 * @author banyanstile contributors
 */
interface OperatorApi {

	/**
	 * Reads from the first VM that answers without a server error.
	 * @param path path with query
	 * @return the reply, a server error only if no VM has a better one
	 * @throws NotReachableException if no VM answered
	 */
	OperatorReply get(String path) throws NotReachableException;

	/**
	 * Asks for a new configuration, at the first VM that accepts a connection.
	 * @param replaces version that it replaces
	 * @param json the configuration
	 * @return the reply
	 * @throws NotReachableException if no VM accepted a connection, so nothing was sent
	 * @throws OutcomeUnknownException if the request was sent and no reply arrived
	 */
	OperatorReply putConfiguration(long replaces, String json) throws NotReachableException, OutcomeUnknownException;

}
