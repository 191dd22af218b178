package org.banyanstile.benchmark;

/**
 * Prints processor time and memory of the control work of VMs and owners at three sizes,
 * on this machine and in this process.
 *
 * @author banyanstile contributors
 */
public final class SlopeMain {

	private SlopeMain() {
	}

	/**
	 * Runs all measurements.
	 * @param args none
	 */
	public static void main(String[] args) {
		SlopeTable table = new SlopeTable(System.out);
		LimitSlopes.run(table);
		PoolSlopes.run(table);
		FleetSlopes.run(table);
		GossipSlopes.run(table);
	}

}
