package org.banyanstile.core.attempt;

/**
 * Decides whether an attempt may use a connection that carried other exchanges. On such a
 * connection a late response to an earlier exchange can arrive in place of its own.
 *
 * @author banyanstile contributors
 */
public final class ConnectionReuse {

	private ConnectionReuse() {
	}

	/**
	 * Returns whether an attempt may use a pooled connection.
	 * @param repeatable whether the request may run more than once
	 * @param sentBefore whether an attempt of the request was sent to the address before,
	 * so that a late response to it has the same id
	 * @return whether it may, or else needs a new one
	 */
	public static boolean isAllowed(boolean repeatable, boolean sentBefore) {
		return repeatable && !sentBefore;
	}

}
