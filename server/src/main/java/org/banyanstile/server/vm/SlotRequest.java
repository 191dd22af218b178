package org.banyanstile.server.vm;

import java.util.List;

/**
 * Asks the owner of a pool for an endpoint slot. The reply is a separate message, so that
 * a queued request occupies no thread.
 *
 * @param pool name of the pool
 * @param team name of the team
 * @param cost prompt plus expected output in tokens
 * @param requestId identifier of the request
 * @param fingerprint hash of team and body
 * @param deadlineMillis longest wait for a slot
 * @param excluded names of endpoints that must not be chosen
 * @author banyanstile contributors
 */
public record SlotRequest(String pool, String team, long cost, String requestId, String fingerprint,
		long deadlineMillis, List<String> excluded) {

	/**
	 * Copies the list.
	 * @param pool name of the pool
	 * @param team name of the team
	 * @param cost prompt plus expected output in tokens
	 * @param requestId identifier of the request
	 * @param fingerprint hash of team and body
	 * @param deadlineMillis longest wait for a slot
	 * @param excluded names of endpoints that must not be chosen
	 */
	public SlotRequest {
		excluded = List.copyOf(excluded);
	}

}
