package org.banyanstile.benchmark;

import java.util.List;

/**
 * Size of a deployment and the times of its engines. The sizes are those of section 1.1
 * of the design. The times are a model: a response of 370 tokens on average, as at the
 * target size, and a prefill that costs as much as tens of output tokens.
 *
 * @param name the name
 * @param prefillEngines the number of prefill engines
 * @param decodeEngines the number of decode engines
 * @param dataCentres the number of data centres
 * @param vms the number of entry VMs
 * @param delayNanos the one-way delay between data centres
 * @author banyanstile contributors
 */
public record Deployment(String name, int prefillEngines, int decodeEngines, int dataCentres, int vms,
		long delayNanos) {

	static final long MILLI = 1_000_000L;

	static final int TEAMS = 5;

	static final int SLOTS = 20;

	static final int MEAN_OUTPUT = 370;

	static final int MEAN_PROMPT = 1000;

	static final long PREFILL_BASE = 20 * MILLI;

	static final long PREFILL_PER_TOKEN = MILLI / 10;

	static final long TRANSFER = 30 * MILLI;

	static final long RETENTION = 800 * MILLI;

	static final long FIRST_TOKEN_TARGET = 450 * MILLI;

	static final long TOKEN_TARGET = 26 * MILLI;

	/**
	 * Returns both deployments.
	 * @return the two deployments
	 */
	public static List<Deployment> all() {
		return List.of(new Deployment("order-desk", 4, 9, 3, 9, MILLI / 2),
				new Deployment("tywod", 2, 4, 3, 9, 3 * MILLI / 2));
	}

	static long tokenNanos(int active) {
		return 18 * MILLI + active * 3 * MILLI / 10;
	}

	/**
	 * Returns the requests per second that fill all decode slots.
	 * @return the capacity
	 */
	double capacityPerSecond() {
		double seconds = (MEAN_OUTPUT * tokenNanos(SLOTS) + PREFILL_BASE + MEAN_PROMPT * PREFILL_PER_TOKEN + TRANSFER)
				* 1e-9;
		return this.decodeEngines * SLOTS / seconds;
	}

}
