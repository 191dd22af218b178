package org.banyanstile.server.platform;

import java.util.Map;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.banyanstile.core.lease.SlotRecord;
import org.jspecify.annotations.Nullable;

/**
 * Logs changes of the serving state, the slot and the partitions of this VM. Used by one
 * thread.
 *
 * @author banyanstile contributors
 */
final class StateChangeLog {

	private static final Logger logger = LogManager.getLogger(StateChangeLog.class);

	private boolean serving;

	private @Nullable SlotRecord slot;

	private Map<String, Long> owned = Map.of();

	void update(Coordination coordination) {
		boolean nowServing = coordination.isServing();
		if (nowServing != this.serving) {
			logger.info("serving {}, last store contact {} ms ago", nowServing ? "begins" : "ends",
					coordination.storeAgeMillis());
			this.serving = nowServing;
		}
		SlotRecord nowHeld = coordination.slot().orElse(null);
		if (nowHeld == null && this.slot != null) {
			logger.info("slot {} with epoch {} is no longer held", this.slot.slot(), this.slot.epoch());
		}
		else if (nowHeld != null && (this.slot == null || this.slot.epoch() != nowHeld.epoch())) {
			logger.info("slot {} acquired with epoch {}", nowHeld.slot(), nowHeld.epoch());
		}
		this.slot = nowHeld;
		Map<String, Long> nowOwned = coordination.owned();
		if (!nowOwned.equals(this.owned)) {
			logger.info("owned partitions with fencing tokens: {}", nowOwned);
			this.owned = nowOwned;
		}
	}

}
