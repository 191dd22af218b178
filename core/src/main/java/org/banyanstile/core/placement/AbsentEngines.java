package org.banyanstile.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.banyanstile.core.catalog.RegisteredEndpoint;

/**
 * Engines of a service that disappeared without draining. Most of them crashed and are
 * back within some seconds, so they still count when roles are balanced. Not safe for use
 * by several threads.
 *
 * @author banyanstile contributors
 */
public final class AbsentEngines {

	/**
	 * Time after which an engine is not expected back.
	 */
	static final long MAX_ABSENCE_NANOS = 5_000_000_000L;

	private final Map<String, RegisteredEndpoint> present = new HashMap<>();

	private final Map<String, Absence> absences = new HashMap<>();

	/**
	 * Updates the engines.
	 * @param registered all registered engines of the service, by id
	 * @param now the current time in nanoseconds
	 * @return the engines that are expected back; an engine is back as soon as its
	 * address is registered again
	 */
	public List<RegisteredEndpoint> update(Map<String, RegisteredEndpoint> registered, long now) {
		for (RegisteredEndpoint engine : this.present.values()) {
			if (engine.ready() && !registered.containsKey(engine.id())) {
				this.absences.putIfAbsent(engine.id(), new Absence(engine, now));
			}
		}
		this.present.clear();
		this.present.putAll(registered);
		Set<String> addresses = new HashSet<>();
		registered.values().forEach((engine) -> addresses.add(engine.address()));
		this.absences.values()
			.removeIf((absence) -> now - absence.since() > MAX_ABSENCE_NANOS
					|| addresses.contains(absence.engine().address()));
		return new ArrayList<>(this.absences.values().stream().map(Absence::engine).toList());
	}

	/**
	 * Absence of an engine.
	 *
	 * @param engine its last registration
	 * @param since time in nanoseconds
	 * @author banyanstile contributors
	 */
	private record Absence(RegisteredEndpoint engine, long since) {

	}

}
