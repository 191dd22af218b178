package org.banyanstile.core.catalog;

/**
 * Whether a request may run more than once.
 *
 * @author banyanstile contributors
 */
public enum CallKind {

	/**
	 * May run more than once.
	 */
	IDEMPOTENT,

	/**
	 * Runs at most once for each attempt of a caller.
	 */
	ONCE_ONLY,

	/**
	 * A stream of events from an engine. Runs at most once, unless the route allows it to
	 * be resumed.
	 */
	STREAM

}
