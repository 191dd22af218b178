package org.banyanstile.core.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.banyanstile.core.common.EndpointId;

/**
 * Chooses a prefill endpoint by the pending prompt tokens of this VM and the reported
 * requests of other VMs. Safe for use by several threads if the random generator is.
 *
 * @author banyanstile contributors
 */
public final class PrefillChoice {

	private final Object lock = new Object();

	private final Map<EndpointId, Long> pending = new HashMap<>();

	private final LaggingLoad load;

	private final RandomGenerator random;

	private final long tokensPerRequest;

	private PrefillChoice(LaggingLoad load, RandomGenerator random, long tokensPerRequest) {
		this.load = load;
		this.random = random;
		this.tokensPerRequest = tokensPerRequest;
	}

	/**
	 * Creates the choice.
	 * @param load the estimated load of the endpoints
	 * @param random the source of random numbers
	 * @param tokensPerRequest the mean prompt tokens, for requests of other VMs
	 * @return the choice
	 */
	public static PrefillChoice create(LaggingLoad load, RandomGenerator random, long tokensPerRequest) {
		return new PrefillChoice(load, random, tokensPerRequest);
	}

	/**
	 * Chooses an endpoint and counts the prompt as pending there.
	 * @param local the endpoints in the data centre of the decode endpoint, preferred
	 * because transfers share links of limited bandwidth
	 * @param remote all other endpoints, used if there is no local one
	 * @param promptTokens the tokens of the prompt
	 * @return the endpoint, empty if there is none
	 */
	public Optional<EndpointId> choose(List<Candidate> local, List<Candidate> remote, long promptTokens) {
		List<Candidate> from = local.isEmpty() ? remote : local;
		if (from.isEmpty()) {
			return Optional.empty();
		}
		EndpointId first = from.get(this.random.nextInt(from.size())).endpoint();
		EndpointId second = from.get(this.random.nextInt(from.size())).endpoint();
		synchronized (this.lock) {
			EndpointId chosen = (estimatedTokens(second) < estimatedTokens(first)) ? second : first;
			this.pending.merge(chosen, promptTokens, Long::sum);
			this.load.started(chosen);
			return Optional.of(chosen);
		}
	}

	/**
	 * Records the end of a prefill.
	 * @param endpoint the endpoint
	 * @param promptTokens the tokens of the prompt
	 */
	public void ended(EndpointId endpoint, long promptTokens) {
		synchronized (this.lock) {
			this.load.ended(endpoint);
			this.pending.computeIfPresent(endpoint,
					(id, tokens) -> (tokens > promptTokens) ? Long.valueOf(tokens - promptTokens) : null);
		}
	}

	private long estimatedTokens(EndpointId endpoint) {
		long others = Math.max(0, this.load.estimate(endpoint) - this.load.own(endpoint));
		return this.pending.getOrDefault(endpoint, 0L) + others * this.tokensPerRequest;
	}

}
