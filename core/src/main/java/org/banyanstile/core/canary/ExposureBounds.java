package org.banyanstile.core.canary;

/**
 * Bounds on the requests that a bad version may get.
 *
 * @param share share of all requests of the service between order and deadline
 * @param slack number of requests in addition
 * @param rollbackMillis time after the evidence in which the last request may be sent
 * @author banyanstile contributors
 */
public record ExposureBounds(double share, double slack, long rollbackMillis) {

	/**
	 * Bounds of a deployment that sets none.
	 */
	public static final ExposureBounds DEFAULT = new ExposureBounds(0.1, 50, 5000);

	/**
	 * Returns the number of requests that a bad version may get.
	 * @param requests all requests of the service
	 * @return the number
	 */
	public double allowed(double requests) {
		return this.slack + this.share * requests;
	}

}
