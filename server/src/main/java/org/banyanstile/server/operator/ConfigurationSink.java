package org.banyanstile.server.operator;

import org.banyanstile.config.FleetConfiguration;

/**
 * Receives each version that comes into force at this VM. Calls can arrive out of order;
 * a version below an earlier one is to be ignored.
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
