package org.banyanstile.server.caller;

import java.util.function.Consumer;

/**
 * The configuration version in force on this VM.
 *
 * @author banyanstile contributors
 */
public interface ConfigurationView {

	/**
	 * Returns the version in force.
	 * @return the configuration
	 */
	ServingConfiguration current();

	/**
	 * Adds a listener that is called after each change of version.
	 * @param listener the listener, called without locks held
	 */
	void onChange(Consumer<ServingConfiguration> listener);

}
