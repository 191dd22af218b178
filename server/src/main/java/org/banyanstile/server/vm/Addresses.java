package org.banyanstile.server.vm;

import java.net.InetSocketAddress;

/**
 * Addresses in the form {@code ip:port}.
 *
 * @author banyanstile contributors
 */
public final class Addresses {

	private Addresses() {
	}

	/**
	 * Parses an address.
	 * @param address the address as {@code ip:port}
	 * @return the address
	 * @throws IllegalArgumentException if it has another form
	 */
	public static InetSocketAddress parse(String address) {
		int colon = address.lastIndexOf(':');
		if (colon <= 0) {
			throw new IllegalArgumentException("address '" + address + "' is not of the form ip:port");
		}
		return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
	}

}
