package org.banyanstile.core.claim;

/**
 * Shows which slot epochs of the fleet have ended.
 *
 * @author banyanstile contributors
 */
@FunctionalInterface
public interface EpochView {

	/**
	 * Returns whether an epoch has certainly ended. Must not block.
	 * @param holder the VM with its slot and epoch
	 * @return whether it has ended
	 */
	boolean hasEnded(ClaimHolder holder);

}
