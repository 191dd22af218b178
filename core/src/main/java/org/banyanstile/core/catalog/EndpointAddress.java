package org.banyanstile.core.catalog;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Address of an endpoint. Host names and IPv6 addresses are not accepted, so that no name
 * is resolved while a request waits.
 *
 * @param ip IPv4 address in dotted decimal form
 * @param port the port
 * @author banyanstile contributors
 */
public record EndpointAddress(String ip, int port) {

	private static final int MAX_PORT = 65_535;

	private static final int MAX_OCTET = 255;

	/**
	 * Leading zeros are not accepted, since some parsers take them for octal numbers.
	 */
	private static final String NUMBER = "(0|[1-9][0-9]{0,4})";

	private static final Pattern FORM = Pattern
		.compile(NUMBER + "\\." + NUMBER + "\\." + NUMBER + "\\." + NUMBER + ":" + NUMBER);

	private static final int OCTETS = 4;

	/**
	 * Parses an address.
	 * @param text the address as {@code ip:port}
	 * @return the address
	 * @throws IllegalArgumentException if it has another form or a part is out of range
	 */
	public static EndpointAddress parse(String text) {
		Matcher matcher = FORM.matcher(text);
		if (!matcher.matches()) {
			throw new IllegalArgumentException("address '" + text + "' is not of the form ip:port");
		}
		for (int i = 1; i <= OCTETS; i++) {
			if (Integer.parseInt(matcher.group(i)) > MAX_OCTET) {
				throw new IllegalArgumentException("address '" + text + "' has no valid IP address");
			}
		}
		int port = Integer.parseInt(matcher.group(OCTETS + 1));
		if (port == 0 || port > MAX_PORT) {
			throw new IllegalArgumentException("address '" + text + "' has a port outside 1 to " + MAX_PORT);
		}
		return new EndpointAddress(text.substring(0, text.indexOf(':')), port);
	}

	@Override
	public String toString() {
		return this.ip + ':' + this.port;
	}

}
