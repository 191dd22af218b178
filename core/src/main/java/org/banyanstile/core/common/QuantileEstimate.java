package org.banyanstile.core.common;

/**
 * Estimate of a quantile of a changing quantity, by stochastic approximation: a sample
 * above the estimate raises it, one below lowers it, in the ratio at which both balance
 * at the quantile. Takes constant memory. Safe for use by several threads.
 *
 * @author banyanstile contributors
 */
public final class QuantileEstimate {

	/**
	 * Relative change by a sample. After a change of the quantity the estimate doubles
	 * within some 15 samples.
	 */
	private static final double STEP = 0.05;

	/**
	 * Number of first samples whose maximum is the estimate.
	 */
	private static final int FIRST_SAMPLES = 20;

	private final double quantile;

	private int samples;

	private double value;

	private QuantileEstimate(double quantile) {
		this.quantile = quantile;
	}

	/**
	 * Creates an estimate without samples.
	 * @param quantile the quantile, above 0 and below 1
	 * @return the estimate
	 */
	public static QuantileEstimate of(double quantile) {
		if (!(quantile > 0 && quantile < 1)) {
			throw new IllegalArgumentException("the quantile " + quantile + " is not between 0 and 1");
		}
		return new QuantileEstimate(quantile);
	}

	/**
	 * Adds a sample.
	 * @param sample the sample, not below 0
	 */
	public synchronized void add(double sample) {
		if (this.samples < FIRST_SAMPLES) {
			this.samples++;
			this.value = Math.max(this.value, sample);
		}
		else if (sample > this.value) {
			this.value = Math.min(sample, this.value * (1 + STEP * this.quantile));
		}
		else {
			this.value = Math.max(sample, this.value * (1 - STEP * (1 - this.quantile)));
		}
	}

	/**
	 * Returns the estimate.
	 * @return the estimate, or infinity without samples
	 */
	public synchronized double get() {
		return (this.samples > 0) ? this.value : Double.POSITIVE_INFINITY;
	}

}
