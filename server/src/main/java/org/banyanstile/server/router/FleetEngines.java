package org.banyanstile.server.router;

import java.util.List;
import java.util.stream.Stream;

import org.banyanstile.core.catalog.Catalog;
import org.banyanstile.core.catalog.EndpointRole;
import org.banyanstile.core.catalog.EngineTraits;
import org.banyanstile.core.catalog.RegisteredEndpoint;
import org.banyanstile.core.catalog.ServedService;
import org.banyanstile.server.scheduling.EngineSource;

/**
 * Engines of the fleet from the copy of the store's tables. What this VM knows of their
 * health is left out, since the VMs that use an engine may see it otherwise.
 *
 * @author banyanstile contributors
 */
final class FleetEngines implements EngineSource {

	private final RouterServices services;

	FleetEngines(RouterServices services) {
		this.services = services;
	}

	@Override
	public List<RegisteredEndpoint> engines(String service) {
		return Stream.of(EndpointRole.PREFILL, EndpointRole.DECODE)
			.flatMap((role) -> this.services.engines(service, role).stream())
			.toList();
	}

	@Override
	public long memoryTokens(String service) {
		Catalog catalog = this.services.view().snapshot().catalog();
		ServedService served = (catalog != null) ? catalog.service(service) : null;
		EngineTraits traits = (served != null) ? served.engine() : null;
		return (traits != null) ? traits.memoryTokens() : 0;
	}

}
