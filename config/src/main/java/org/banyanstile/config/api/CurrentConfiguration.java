package org.banyanstile.config.api;

import org.banyanstile.config.FleetConfiguration;
import org.jspecify.annotations.Nullable;

/**
 * A version of the configuration.
 *
 * @param version the version, 0 before the first one
 * @param configuration its content, {@code null} before the first one
 * @author banyanstile contributors
 */
public record CurrentConfiguration(long version, @Nullable FleetConfiguration configuration) {

}
