package org.banyanstile.emulator.engine;

/**
 * The engine refuses a request with a status code.
 *
 * @author banyanstile contributors
 */
final class EngineRefusal extends Exception {

	private static final long serialVersionUID = 1L;

	private final int status;

	EngineRefusal(int status, String message) {
		super(message);
		this.status = status;
	}

	int status() {
		return this.status;
	}

}
