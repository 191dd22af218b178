package org.banyanstile.server.vm;

/**
 * Threads of connections between VMs.
 *
 * @author banyanstile contributors
 */
final class VmThreads {

	/**
	 * Small, because the threads only transfer frames and there are three for each other
	 * VM.
	 */
	private static final long STACK_BYTES = 256 * 1024;

	private VmThreads() {
	}

	static Thread start(String name, Runnable body) {
		Thread thread = create(name, body);
		thread.start();
		return thread;
	}

	static Thread create(String name, Runnable body) {
		Thread thread = new Thread(null, body, name, STACK_BYTES);
		thread.setDaemon(true);
		return thread;
	}

}
