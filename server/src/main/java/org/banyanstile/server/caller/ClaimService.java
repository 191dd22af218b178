package org.banyanstile.server.caller;

/**
 * Claims for calls that must not be repeated.
 *
 * @author banyanstile contributors
 */
public interface ClaimService {

	/**
	 * Claims a call. The claim may need the store.
	 * @param key identity of the call
	 * @return the decision
	 */
	ClaimDecision claim(ClaimKey key);

	/**
	 * Returns whether an earlier attempt may have run, for a refusal without a claim.
	 * @param key identity of the call
	 * @return {@code false} only if it is certain that none has run or is running
	 */
	boolean mayHaveRun(ClaimKey key);

	/**
	 * Records the outcome of a claimed call. An outcome that cannot be stored now is kept
	 * and stored later.
	 * @param run the claim
	 * @param outcome the outcome
	 */
	void complete(ClaimDecision.Run run, CallOutcome outcome);

}
