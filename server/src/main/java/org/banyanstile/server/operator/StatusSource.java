package org.banyanstile.server.operator;

import org.banyanstile.config.api.VmStatus;

/**
 * State of this VM for operators.
 *
 * @author banyanstile contributors
 */
@FunctionalInterface
public interface StatusSource {

	/**
	 * Returns the state.
	 * @return the state of this VM
	 */
	VmStatus status();

}
