package org.banyanstile.server;

import java.util.LinkedHashMap;
import java.util.Map;

import org.banyanstile.server.caller.CallOutcome;
import org.banyanstile.server.caller.ClaimDecision;
import org.banyanstile.server.caller.ClaimKey;
import org.banyanstile.server.caller.ClaimService;
import org.jspecify.annotations.Nullable;

/**
 * In-memory claims for calls that must run at most once, bounded in number. Correct only
 * in a fleet of one VM that is not restarted.
 *
 * @author banyanstile contributors
 */
public final class LocalClaimService implements ClaimService {

	private static final int MAX_CLAIMS = 100_000;

	private static final long RETRY_MILLIS = 200;

	private final Map<String, Claim> claims = new LinkedHashMap<>();

	/**
	 * Creates a service.
	 * @return the service
	 */
	public static LocalClaimService create() {
		return new LocalClaimService();
	}

	@Override
	public synchronized ClaimDecision claim(ClaimKey key) {
		String name = key.team() + "/" + key.keyHash();
		Claim claim = this.claims.get(name);
		if (claim == null) {
			if (this.claims.size() >= MAX_CLAIMS) {
				return new ClaimDecision.Unavailable(RETRY_MILLIS);
			}
			this.claims.put(name, new Claim(key.bodyHash(), null));
			return new ClaimDecision.Run(key, name);
		}
		if (!claim.bodyHash().equals(key.bodyHash())) {
			return new ClaimDecision.KeyReused();
		}
		CallOutcome outcome = claim.outcome();
		return (outcome != null) ? new ClaimDecision.Decided(outcome) : new ClaimDecision.InProgress(RETRY_MILLIS);
	}

	@Override
	public synchronized boolean mayHaveRun(ClaimKey key) {
		return this.claims.containsKey(key.team() + "/" + key.keyHash());
	}

	@Override
	public synchronized void complete(ClaimDecision.Run run, CallOutcome outcome) {
		String name = (String) run.handle();
		if (outcome instanceof CallOutcome.NotRun) {
			this.claims.remove(name);
		}
		else {
			this.claims.put(name, new Claim(run.key().bodyHash(), outcome));
		}
	}

	/**
	 * State of a claim.
	 *
	 * @param bodyHash hash of the call
	 * @param outcome outcome, or {@code null} while the call runs
	 * @author banyanstile contributors
	 */
	private record Claim(String bodyHash, @Nullable CallOutcome outcome) {

	}

}
