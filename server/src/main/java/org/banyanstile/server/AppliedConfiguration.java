package org.banyanstile.server;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.banyanstile.config.FleetConfiguration;
import org.banyanstile.config.Limits;
import org.banyanstile.server.caller.ConfigurationView;
import org.banyanstile.server.caller.FleetServingConfiguration;
import org.banyanstile.server.caller.ServingConfiguration;

/**
 * The configuration version in force on this VM. A version below the current one is never
 * applied.
 *
 * @author banyanstile contributors
 */
public final class AppliedConfiguration implements ConfigurationView {

	private static final Logger logger = LogManager.getLogger(AppliedConfiguration.class);

	private final List<Consumer<ServingConfiguration>> listeners = new CopyOnWriteArrayList<>();

	private volatile FleetServingConfiguration current = FleetServingConfiguration.of(0, empty());

	private static FleetConfiguration empty() {
		return new FleetConfiguration(FleetConfiguration.FORMAT_VERSION, "none", List.of(), List.of(), List.of(),
				List.of(), Limits.of(0, 0, 1024));
	}

	/**
	 * Applies a version.
	 * @param version the version
	 * @param configuration its content
	 * @return whether it was applied; an equal or lower version is not
	 */
	public boolean apply(long version, FleetConfiguration configuration) {
		FleetServingConfiguration next = FleetServingConfiguration.of(version, configuration);
		synchronized (this) {
			if (version <= this.current.version()) {
				return false;
			}
			this.current = next;
		}
		logger.info("configuration version {} is in force", version);
		this.listeners.forEach((listener) -> listener.accept(next));
		return true;
	}

	@Override
	public FleetServingConfiguration current() {
		return this.current;
	}

	@Override
	public void onChange(Consumer<ServingConfiguration> listener) {
		this.listeners.add(listener);
	}

}
