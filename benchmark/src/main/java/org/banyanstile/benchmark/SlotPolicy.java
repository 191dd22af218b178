package org.banyanstile.benchmark;

/**
 * Ways to find a decode slot: that of the design and its naive versions.
 *
 * @author banyanstile contributors
 */
enum SlotPolicy {

	/**
	 * The least loaded endpoint by lagging reports, after the prefill.
	 */
	LAGGING_LOAD(false, false, true),

	/**
	 * The same with the retry budget.
	 */
	LAGGING_LOAD_BUDGET(false, true, true),

	/**
	 * Power of two choices on lagging reports with a cap for each VM, after the prefill.
	 */
	TWO_CHOICES(false, true, true),

	/**
	 * The broker, queried after the prefill.
	 */
	BROKER_AFTER_PREFILL(false, true, true),

	/**
	 * The broker with one queue for all teams.
	 */
	BROKER_FIFO(true, true, false),

	/**
	 * The broker without a limit of retries.
	 */
	BROKER_UNLIMITED_RETRIES(true, false, true),

	/**
	 * The design.
	 */
	BROKER(true, true, true);

	private final boolean reserving;

	private final boolean budget;

	private final boolean fair;

	SlotPolicy(boolean reserving, boolean budget, boolean fair) {
		this.reserving = reserving;
		this.budget = budget;
		this.fair = fair;
	}

	boolean isReserving() {
		return this.reserving;
	}

	boolean hasBudget() {
		return this.budget;
	}

	boolean isFair() {
		return this.fair;
	}

	boolean usesBroker() {
		return this != LAGGING_LOAD && this != LAGGING_LOAD_BUDGET && this != TWO_CHOICES;
	}

}
