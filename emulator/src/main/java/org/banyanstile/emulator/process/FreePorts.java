package org.banyanstile.emulator.process;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Chooses free ports on loopback. The ports are below the ephemeral range, so that no
 * outgoing connection takes one before it is bound.
 *
 * @author banyanstile contributors
 */
final class FreePorts {

	private static final int FIRST = 10_000;

	private static final int LAST = 32_000;

	private static final int ATTEMPTS = 1000;

	private final Set<Integer> assigned = new HashSet<>();

	synchronized String address() {
		for (int i = 0; i < ATTEMPTS; i++) {
			int port = ThreadLocalRandom.current().nextInt(FIRST, LAST);
			if (!this.assigned.contains(port) && isFree(port)) {
				this.assigned.add(port);
				return "127.0.0.1:" + port;
			}
		}
		throw new IllegalStateException("no free port on loopback");
	}

	private static boolean isFree(int port) {
		try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
			return socket.isBound();
		}
		catch (IOException ex) {
			return false;
		}
	}

}
