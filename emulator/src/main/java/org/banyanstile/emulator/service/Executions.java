package org.banyanstile.emulator.service;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Number of executions for each idempotency key.
 *
 * @author banyanstile contributors
 */
final class Executions {

	private final Map<String, Integer> byKey = new LinkedHashMap<>();

	private long total;

	private long withoutKey;

	synchronized long add(String key) {
		this.total++;
		if (key.isEmpty()) {
			this.withoutKey++;
		}
		else {
			this.byKey.merge(key, 1, Integer::sum);
		}
		return this.total;
	}

	synchronized Map<String, Object> report() {
		long repeated = this.byKey.values().stream().filter((n) -> n > 1).count();
		Map<String, Object> report = new LinkedHashMap<>();
		report.put("executions", this.total);
		report.put("keys", this.byKey.size());
		report.put("keysRunTwice", repeated);
		report.put("withoutKey", this.withoutKey);
		report.put("byKey", new LinkedHashMap<>(this.byKey));
		return report;
	}

}
