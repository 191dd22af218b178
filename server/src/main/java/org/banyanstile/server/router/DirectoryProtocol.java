package org.banyanstile.server.router;

import java.time.Duration;
import java.util.List;

/**
 * Paths and formats of the directory of VMs and of the readiness check.
 *
 * @author banyanstile contributors
 */
public interface DirectoryProtocol {

	/**
	 * Returns whether a path is that of the directory.
	 * @param path the request path
	 * @return whether it is
	 */
	boolean isDirectory(String path);

	/**
	 * Returns whether a path is that of the readiness check.
	 * @param path the request path
	 * @return whether it is
	 */
	boolean isReadiness(String path);

	/**
	 * Encodes a response of the directory.
	 * @param addresses caller addresses of VMs
	 * @param lifetime how long callers may cache the response
	 * @return the JSON body
	 */
	byte[] directoryResponse(List<String> addresses, Duration lifetime);

}
