package org.banyanstile.server.caller;

/**
 * Claims for calls that must run at most once.
 *
 * @author banyanstile contributors
 */
public interface ClaimService {

	/**
	 * Claims a call. May access the store.
	 * @param key identity of the call
	 * @return the decision
	 */
	ClaimDecision claim(ClaimKey key);

	/**
	 * Returns whether an earlier attempt may have run. Used for a request that is refused
	 * before a claim is made.
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
