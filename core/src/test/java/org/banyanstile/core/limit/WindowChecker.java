package org.banyanstile.core.limit;

import java.util.Map;
import java.util.TreeMap;

/**
 * Checks that at most burst + rate times length was used in every window of time. A leaky
 * bucket that counts the used tokens is equivalent to checking all windows.
 *
 * @author banyanstile contributors
 */
final class WindowChecker {

	private final TreeMap<Long, Long> uses = new TreeMap<>();

	void used(long atNanos, long tokens) {
		this.uses.merge(atNanos, tokens, Long::sum);
	}

	double overGrant(TeamLimit limit) {
		double filled = 0;
		double worst = 0;
		long last = Long.MIN_VALUE;
		for (Map.Entry<Long, Long> use : this.uses.entrySet()) {
			if (last != Long.MIN_VALUE) {
				filled = Math.max(0, filled - (use.getKey() - last) * 1e-9 * limit.tokensPerSecond());
			}
			filled += use.getValue();
			worst = Math.max(worst, filled - limit.burstTokens());
			last = use.getKey();
		}
		return worst;
	}

	long total() {
		return this.uses.values().stream().mapToLong(Long::longValue).sum();
	}

}
