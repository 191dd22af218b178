package org.banyanstile.server.platform;

import java.net.URI;

/**
 * Address and path prefix of a service of the platform.
 *
 * @param address address as {@code ip:port}
 * @param path path prefix without a trailing slash
 * @author banyanstile contributors
 */
record BaseUrl(String address, String path) {

	static BaseUrl parse(String url) {
		URI uri = URI.create(url);
		if (!"http".equals(uri.getScheme()) || uri.getHost() == null || uri.getPort() < 0) {
			throw new IllegalArgumentException("'" + url + "' is not of the form http://ip:port");
		}
		String path = uri.getPath().endsWith("/") ? uri.getPath().substring(0, uri.getPath().length() - 1)
				: uri.getPath();
		return new BaseUrl(uri.getHost() + ":" + uri.getPort(), path);
	}

}
