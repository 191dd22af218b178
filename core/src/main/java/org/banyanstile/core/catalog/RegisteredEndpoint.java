package org.banyanstile.core.catalog;

/**
 * Registration of an endpoint, as written by the endpoint itself.
 *
 * @param id id of this incarnation
 * @param service name of its service
 * @param address address as {@code ip:port}
 * @param dataCentre its data centre
 * @param role its role
 * @param ready whether it takes new work; {@code false} while it drains
 * @param capacity number of requests that it runs at once
 * @param coldMillis remaining time of its cold start when it wrote the registration
 * @param startMillis time of its start in milliseconds since 1970, 0 if not given; an
 * endpoint can start again with the same id
 * @param version version of its software, empty if not given
 * @author banyanstile contributors
 */
public record RegisteredEndpoint(String id, String service, String address, String dataCentre, EndpointRole role,
		boolean ready, int capacity, long coldMillis, long startMillis, String version) {

	/**
	 * Returns whether two endpoints have the same software version. What two versions
	 * write, in a stream or in a KV cache, does not fit together.
	 * @param other the other endpoint
	 * @return whether they have
	 */
	public boolean hasVersionOf(RegisteredEndpoint other) {
		return this.version.equals(other.version);
	}

}
