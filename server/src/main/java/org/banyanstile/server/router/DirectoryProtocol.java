package org.banyanstile.server.router;

import java.time.Duration;
import java.util.List;

/**
 * Names and formats of the directory of VMs and of the readiness check.
 *
 * @author banyanstile contributors
 */
public interface DirectoryProtocol {

	/**
	 * Returns whether a path asks for the directory.
	 * @param path the request path
	 * @return whether it does
	 */
	boolean isDirectory(String path);

	/**
	 * Returns whether a path asks for readiness.
	 * @param path the request path
	 * @return whether it does
	 */
	boolean isReadiness(String path);

	/**
	 * Writes an answer of the directory.
	 * @param addresses caller addresses of VMs
	 * @param life how long the answer may be used
	 * @return the JSON body
	 */
	byte[] directoryAnswer(List<String> addresses, Duration life);

}
