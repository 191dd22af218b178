package org.banyanstile.core.lease;

import java.util.random.RandomGenerator;

import org.banyanstile.core.common.VmId;

/**
 * Generates identifiers of writes that are unique across all processes.
 *
 * @author banyanstile contributors
 */
public final class OperationIds {

	private final String prefix;

	private long count;

	private OperationIds(String prefix) {
		this.prefix = prefix;
	}

	/**
	 * Creates the sequence of one process.
	 * @param vm this VM
	 * @param random source of the random prefix that distinguishes processes of one VM
	 * @return the sequence
	 */
	public static OperationIds create(VmId vm, RandomGenerator random) {
		return new OperationIds(vm.name() + "-" + Long.toHexString(random.nextLong()) + "-");
	}

	/**
	 * Returns the next identifier.
	 * @return the identifier
	 */
	public synchronized String next() {
		return this.prefix + this.count++;
	}

}
