package org.banyanstile.core.placement;

/**
 * Demand for the engines of a service.
 *
 * @param prefillEngines engines that its prompts keep busy without a pause
 * @param memoryTokens memory that its generations need at once, in tokens, that of
 * waiting ones included
 * @author banyanstile contributors
 */
public record RoleDemand(double prefillEngines, double memoryTokens) {

	/**
	 * Part of the time for which a prefill engine should be busy. The rest keeps the
	 * queue of a burst short, which delays the first event.
	 */
	static final double PREFILL_USE = 0.6;

	/**
	 * Part of the memory of decode engines that should be in use.
	 */
	static final double MEMORY_USE = 0.9;

	/**
	 * Part of the engines below which the demand does not change the share of prefill:
	 * both roles have room then, and a role change takes an engine out of service.
	 */
	static final double MIN_LOAD = 0.3;

	static final double MIN_SHARE = 0.1;

	static final double MAX_SHARE = 0.4;

	/**
	 * Returns the share of engines that should prefill. If there are more or fewer
	 * engines than needed, both roles have the same part of what they need.
	 * @param memoryTokens tokens that fit into the memory of an engine
	 * @param engines number of engines of the service
	 * @return the share, above 0
	 */
	double prefillShare(long memoryTokens, int engines) {
		double prefill = this.prefillEngines / PREFILL_USE;
		double decode = this.memoryTokens / (MEMORY_USE * Math.max(1, memoryTokens));
		if (prefill + decode < MIN_LOAD * engines) {
			return RoleBalance.PREFILL_SHARE;
		}
		return Math.max(MIN_SHARE, Math.min(MAX_SHARE, prefill / (prefill + decode)));
	}

}
