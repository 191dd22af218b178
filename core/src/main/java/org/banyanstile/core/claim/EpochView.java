package org.banyanstile.core.claim;

/**
 * Knowledge about the slot epochs of the fleet.
 *
 * @author banyanstile contributors
 */
@FunctionalInterface
public interface EpochView {

	/**
	 * Returns whether an epoch has ended for certain. Must not block.
	 * @param holder the VM with its slot and epoch
	 * @return whether it has ended
	 */
	boolean hasEnded(ClaimHolder holder);

}
