package org.banyanstile.config;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Address of a listener as {@code ip:port}. Host names are not allowed, because the
 * system does not depend on a name service.
 *
 * @author banyanstile contributors
 */
public final class IpPort {

	private static final String OCTET = "(?:25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])";

	private static final Pattern FORMAT = Pattern
		.compile("(" + OCTET + "(?:\\." + OCTET + "){3}|\\[[0-9A-Fa-f:.]*:[0-9A-Fa-f:.]*]):([1-9][0-9]{0,4})");

	private static final int MAX_PORT = 65535;

	private IpPort() {
	}

	/**
	 * Reads an address.
	 * @param text the text, for example {@code 127.0.0.1:9101} or {@code [::1]:9101}
	 * @return the address, or empty if the text is not one
	 */
	public static Optional<InetSocketAddress> parse(String text) {
		Matcher matcher = FORMAT.matcher(text);
		if (!matcher.matches() || Integer.parseInt(matcher.group(2)) > MAX_PORT) {
			return Optional.empty();
		}
		try {
			// The pattern matches IP literals only, so this never queries a name service.
			InetAddress ip = InetAddress.getByName(matcher.group(1));
			return Optional.of(new InetSocketAddress(ip, Integer.parseInt(matcher.group(2))));
		}
		catch (UnknownHostException ex) {
			return Optional.empty();
		}
	}

}
