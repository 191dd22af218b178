package org.banyanstile.server.caller;

/**
 * Tells whether this VM may serve now. Checked before admission, before dispatch and
 * while an answer streams.
 *
 * @author banyanstile contributors
 */
@FunctionalInterface
public interface ServingCheck {

	/**
	 * Returns whether this VM may serve.
	 * @return whether it may serve
	 */
	boolean mayServe();

}
