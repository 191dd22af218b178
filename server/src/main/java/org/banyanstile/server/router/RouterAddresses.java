package org.banyanstile.server.router;

import java.net.InetSocketAddress;

import org.jspecify.annotations.Nullable;

/**
 * Addresses that a VM listens at.
 *
 * @param callers for callers
 * @param readiness for the readiness check
 * @param directory for callers that ask which VM to use
 * @param metrics for metrics, {@code null} for none
 * @author banyanstile contributors
 */
public record RouterAddresses(InetSocketAddress callers, InetSocketAddress readiness, InetSocketAddress directory,
		@Nullable InetSocketAddress metrics) {

}
