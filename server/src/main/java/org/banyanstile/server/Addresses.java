package org.banyanstile.server;

import java.net.InetSocketAddress;

/**
 * Addresses of the settings.
 *
 * @author banyanstile contributors
 */
final class Addresses {

	private Addresses() {
	}

	static InetSocketAddress parse(String address) {
		int colon = address.lastIndexOf(':');
		if (colon < 1) {
			throw new IllegalArgumentException("'" + address + "' is no ip:port");
		}
		return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
	}

}
