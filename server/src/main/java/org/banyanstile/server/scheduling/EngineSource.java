package org.banyanstile.server.scheduling;

import java.util.List;

import org.banyanstile.core.catalog.RegisteredEndpoint;

/**
 * Engines as this VM sees them.
 *
 * @author banyanstile contributors
 */
public interface EngineSource {

	/**
	 * Returns the usable engines of a service.
	 * @param service name of the service
	 * @return the engines of all roles, without those that are changing their role
	 */
	List<RegisteredEndpoint> engines(String service);

	/**
	 * Returns the memory of one engine.
	 * @param service name of the service
	 * @return tokens that fit into it, 0 if the service is unknown or has no engines
	 */
	long memoryTokens(String service);

}
