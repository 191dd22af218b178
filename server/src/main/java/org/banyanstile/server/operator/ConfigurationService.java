package org.banyanstile.server.operator;

import org.banyanstile.config.FleetConfiguration;
import org.banyanstile.config.api.ChangeResult;
import org.banyanstile.config.api.CurrentConfiguration;
import org.banyanstile.config.api.RolloutStatus;
import org.banyanstile.core.store.StoreException;

/**
 * Configuration versions for the operator interface. Calls block.
 *
 * @author banyanstile contributors
 */
public interface ConfigurationService {

	/**
	 * Returns the version in force at this VM.
	 * @return the version and its content
	 */
	CurrentConfiguration current();

	/**
	 * Reads a stored version.
	 * @param version the version
	 * @return the version and its content, which is {@code null} if it does not exist or
	 * is no longer retained
	 * @throws StoreException if the version could not be read from the table service
	 */
	CurrentConfiguration stored(long version) throws StoreException;

	/**
	 * Replaces the configuration.
	 * @param replaced the version to replace
	 * @param configuration the new, valid configuration
	 * @return the outcome
	 */
	ChangeResult replace(long replaced, FleetConfiguration configuration);

	/**
	 * Returns the progress of the latest version that this VM knows.
	 * @return the progress
	 */
	RolloutStatus status();

}
