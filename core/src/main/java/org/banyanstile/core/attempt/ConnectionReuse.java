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
	 * @param identified whether the request has an id, by which its response is known
	 * @param repeatable whether the request may run more than once
	 * @param first whether it is the first attempt of the request. A late response to an
	 * earlier one has the same id, and a retry must not fail for the same reason as the
	 * first attempt
	 * @return whether it may, or else needs a new one
	 */
	public static boolean isAllowed(boolean identified, boolean repeatable, boolean first) {
		return identified && repeatable && first;
	}

}
