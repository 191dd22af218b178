package org.banyanstile.server.scheduling;

import java.util.List;
import java.util.random.RandomGenerator;

import org.banyanstile.core.catalog.RegisteredEndpoint;
import org.jspecify.annotations.Nullable;

/**
 * Engines of a service whose generations one VM schedules.
 *
 * @param service name of the service
 * @param index number of the group
 * @param count number of groups of the service
 * @author banyanstile contributors
 */
record EngineGroup(String service, int index, int count) {

	/**
	 * Typical size of a group, so that one VM can schedule its requests.
	 */
	static final int MAX_ENGINES = 64;

	/**
	 * Selects the group of a request: that of a random engine, so that large groups get
	 * more requests.
	 * @param service name of the service
	 * @param engines all engines of the service
	 * @param random source of random numbers
	 * @return the group, or {@code null} if there is no engine
	 */
	static @Nullable EngineGroup random(String service, List<RegisteredEndpoint> engines, RandomGenerator random) {
		if (engines.isEmpty()) {
			return null;
		}
		return of(engines.get(random.nextInt(engines.size())), engines.size());
	}

	/**
	 * Returns the group of an engine.
	 * @param engine the engine
	 * @param engines number of engines of its service
	 * @return the group
	 */
	static EngineGroup of(RegisteredEndpoint engine, int engines) {
		int count = Math.max(1, (engines + MAX_ENGINES - 1) / MAX_ENGINES);
		return new EngineGroup(engine.service(), index(engine.id(), count), count);
	}

	private static int index(String engine, int count) {
		return Math.floorMod(engine.hashCode(), count);
	}

	boolean contains(RegisteredEndpoint engine) {
		return engine.service().equals(this.service) && index(engine.id(), this.count) == this.index;
	}

	/**
	 * Returns the key whose preferred VM schedules the group.
	 * @return the key
	 */
	String key() {
		return "generations/" + this.service + '/' + this.index + '/' + this.count;
	}

}
