package org.banyanstile.server.caller;

/**
 * Grants slots of endpoints.
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
	 * Gives a slot back.
	 * @param slot the slot
	 * @param outcome how its use ended
	 */
	void release(SlotDecision.Granted slot, SlotOutcome outcome);

}
