package org.banyanstile.emulator.process;

import org.banyanstile.config.VmSettings;

/**
 * A running daemon.
 *
 * @param settings its settings
 * @param process the process
 * @author banyanstile contributors
 */
public record VmNode(VmSettings settings, ChildProcess process) {

	/**
	 * Returns the address for callers.
	 * @return the address as {@code ip:port}
	 */
	public String callerAddress() {
		return this.settings.callerAddress();
	}

	/**
	 * Returns the address for operators.
	 * @return the address as {@code ip:port}
	 */
	public String operatorAddress() {
		return this.settings.operatorAddress();
	}

}
