package org.banyanstile.server.router;

import java.net.InetSocketAddress;

import org.jspecify.annotations.Nullable;

/**
 * Addresses that a VM listens at.
 *
 * @param callers address for callers
 * @param readiness address for the readiness check
 * @param directory address at which callers query the directory of VMs
 * @param metrics address for metrics, {@code null} for none
 * @param scheduler address for datagrams of the fleet's scheduler, {@code null} for none
 * @author banyanstile contributors
 */
public record RouterAddresses(InetSocketAddress callers, InetSocketAddress readiness, InetSocketAddress directory,
		@Nullable InetSocketAddress metrics, @Nullable InetSocketAddress scheduler) {

}
