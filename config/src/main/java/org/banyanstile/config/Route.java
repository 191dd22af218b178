package org.banyanstile.config;

/**
 * A route of a plain service.
 *
 * @param service name of the service, as in {@link Endpoint#serves()}
 * @param method {@code GET} or {@code POST}
 * @param path path below the service, with a leading slash
 * @param idempotent whether a call may be retried after an unknown outcome
 * @param open whether a call needs no key
 * @author banyanstile contributors
 */
public record Route(String service, String method, String path, boolean idempotent, boolean open) {

	/**
	 * Returns a route whose calls may be retried.
	 * @param service name of the service
	 * @param method {@code GET} or {@code POST}
	 * @param path path below the service
	 * @return the route
	 */
	public static Route idempotent(String service, String method, String path) {
		return new Route(service, method, path, true, false);
	}

	/**
	 * Returns a route whose calls run at most once and require an idempotency key.
	 * @param service name of the service
	 * @param method {@code GET} or {@code POST}
	 * @param path path below the service
	 * @return the route
	 */
	public static Route once(String service, String method, String path) {
		return new Route(service, method, path, false, false);
	}

	/**
	 * Returns a copy that needs no key.
	 * @return the copy
	 */
	public Route withoutKey() {
		return new Route(this.service, this.method, this.path, this.idempotent, true);
	}

}
