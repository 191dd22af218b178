package org.banyanstile.server.caller;

/**
 * Grants endpoint slots.
 *
 * @author banyanstile contributors
 */
public interface SlotSource {

	/**
	 * Waits for a slot.
	 * @param demand the demand
	 * @return the decision, within the deadline of the demand
	 */
	SlotDecision acquire(SlotDemand demand);

	/**
	 * Extends a slot whose request is still running.
	 * @param slot the slot
	 */
	void renew(SlotDecision.Granted slot);

	/**
	 * Releases a slot.
	 * @param slot the slot
	 * @param outcome how its use ended
	 */
	void release(SlotDecision.Granted slot, SlotOutcome outcome);

}
