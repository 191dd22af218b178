package org.banyanstile.server.view;

/**
 * A table of the store that VMs keep a copy of.
 *
 * @author banyanstile contributors
 */
public enum FleetTable {

	/**
	 * Written by the operator: the configuration and the evacuated data centres.
	 */
	OPERATOR,

	/**
	 * Registered endpoints and their states.
	 */
	ENDPOINTS

}
