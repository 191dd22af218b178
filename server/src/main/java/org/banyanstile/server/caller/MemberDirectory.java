package org.banyanstile.server.caller;

import java.util.List;

/**
 * Directory of the VMs that callers can send requests to.
 *
 * @author banyanstile contributors
 */
public interface MemberDirectory {

	/**
	 * Returns the VMs that serve, this one included unless it is leaving.
	 * @return the VMs, in no particular order
	 */
	List<Member> members();

	/**
	 * A VM that serves.
	 *
	 * @param address caller address as {@code ip:port}
	 * @param dataCentre name of the data centre
	 * @author banyanstile contributors
	 */
	record Member(String address, String dataCentre) {

	}

}
