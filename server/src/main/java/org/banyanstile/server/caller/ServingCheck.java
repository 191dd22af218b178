package org.banyanstile.server.caller;

/**
 * Tells whether this VM is allowed to serve now. Checked before admission, before
 * dispatch and while a response is streamed.
 *
 * @author banyanstile contributors
 */
@FunctionalInterface
public interface ServingCheck {

	/**
	 * Returns whether this VM is allowed to serve.
	 * @return whether it is
	 */
	boolean mayServe();

}
