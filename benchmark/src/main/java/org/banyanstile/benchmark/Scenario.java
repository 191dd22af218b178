package org.banyanstile.benchmark;

/**
 * Load and disturbances of a pool, from section 1.1 of the design.
 *
 * @author banyanstile contributors
 */
enum Scenario {

	/**
	 * Demand at 95% of the decode slots.
	 */
	LOAD_95(0.95, false, false, false),

	/**
	 * Demand at the peak is 20% above the slots.
	 */
	PEAK(1.2, false, false, false),

	/**
	 * One team sends five times its share.
	 */
	ONE_TEAM_FIVEFOLD(0.95, true, false, false),

	/**
	 * One engine starts cold every 30 s.
	 */
	COLD_ENDPOINTS(0.8, false, true, false),

	/**
	 * A data centre is drained for a third of the run and then returns.
	 */
	DATA_CENTRE_LEAVES(0.8, false, false, true);

	private final double load;

	private final boolean fivefold;

	private final boolean cold;

	private final boolean leaving;

	Scenario(double load, boolean fivefold, boolean cold, boolean leaving) {
		this.load = load;
		this.fivefold = fivefold;
		this.cold = cold;
		this.leaving = leaving;
	}

	double load(int team) {
		double share = this.load / Deployment.TEAMS;
		return (this.fivefold && team == 0) ? 5 * share : share;
	}

	boolean isCold() {
		return this.cold;
	}

	boolean isLeaving() {
		return this.leaving;
	}

}
