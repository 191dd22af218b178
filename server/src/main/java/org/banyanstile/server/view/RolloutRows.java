package org.banyanstile.server.view;

import java.util.HashMap;
import java.util.Map;

import org.banyanstile.core.canary.RolloutOrder;
import org.banyanstile.core.replica.ReplicaRow;
import org.banyanstile.core.replica.StoreVersion;
import org.banyanstile.server.router.DecisionLog;
import org.jspecify.annotations.Nullable;

/**
 * Rollouts that rows of the operator's table request.
 *
 * @author banyanstile contributors
 */
final class RolloutRows {

	private final RowDecoder decoder;

	private final DecisionLog log;

	private final Map<String, RolloutOrder> orders = new HashMap<>();

	RolloutRows(RowDecoder decoder, DecisionLog log) {
		this.decoder = decoder;
		this.log = log;
	}

	/**
	 * Applies a changed row.
	 * @param key key of the row
	 * @param row the row, {@code null} or without a value if it was removed
	 */
	void update(String key, @Nullable ReplicaRow row) {
		if (row == null || row.value() == null) {
			this.orders.remove(key);
			this.log.stateChange("rollout withdrawn", "row", key);
			return;
		}
		try {
			RolloutOrder order = this.decoder.decodeRollout(key, row.version(), row.value());
			this.orders.put(key, order);
			this.log.stateChange("rollout requested", "service", order.service(), "to", order.to(), "deadlineMillis",
					order.deadlineMillis(), "row", StoreVersion.toText(row.version()));
		}
		catch (MalformedRowException | RuntimeException | StackOverflowError ex) {
			this.log.problem("malformed rollout row " + key + "; the previous one stays in force", ex);
		}
	}

	Map<String, RolloutOrder> byService() {
		Map<String, RolloutOrder> byService = new HashMap<>();
		this.orders.values().forEach((order) -> byService.put(order.service(), order));
		return byService;
	}

}
