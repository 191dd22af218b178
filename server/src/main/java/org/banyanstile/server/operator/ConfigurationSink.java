package org.banyanstile.server.operator;

import org.banyanstile.config.FleetConfiguration;

/**
 * Receives each version that comes into force at this VM, one call at a time, in
 * ascending order of the versions. Must not block on I/O.
 *
 * @author banyanstile contributors
 */
@FunctionalInterface
public interface ConfigurationSink {

	/**
	 * Applies a version.
	 * @param version the version
	 * @param configuration its content
	 */
	void apply(long version, FleetConfiguration configuration);

}
