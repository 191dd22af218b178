package org.banyanstile.server.view;

/**
 * A table that VMs keep a copy of.
 *
 * @author banyanstile contributors
 */
public enum FleetTable {

	/**
	 * What the operator asks for: the configuration and evacuated data centres.
	 */
	OPERATOR,

	/**
	 * What endpoints say of themselves.
	 */
	ENDPOINTS

}
