package org.banyanstile.core.catalog;

/**
 * What an endpoint says of itself.
 *
 * @param id id of this incarnation
 * @param service name of its service
 * @param address address as {@code ip:port}
 * @param dataCentre its data centre
 * @param phase its part
 * @param ready whether it takes new work; {@code false} while it drains
 * @param capacity requests that it runs at once
 * @param coldMillis how much longer it was cold when it wrote this
 * @author banyanstile contributors
 */
public record RegisteredEndpoint(String id, String service, String address, String dataCentre, EndpointPhase phase,
		boolean ready, int capacity, long coldMillis) {

}
