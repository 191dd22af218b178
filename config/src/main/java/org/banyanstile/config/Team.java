package org.banyanstile.config;

import java.util.ArrayList;
import java.util.List;

/**
 * A team, the unit of keys, limits and fairness.
 *
 * @param name the name, unique in the fleet
 * @param weight weight in the fair queue
 * @param tokensPerSecond rate over the whole fleet
 * @param burstTokens burst over the whole fleet
 * @param keys its keys
 * @author banyanstile contributors
 */
public record Team(String name, int weight, long tokensPerSecond, long burstTokens, List<TeamKey> keys) {

	/**
	 * Copies the list.
	 * @param name the name, unique in the fleet
	 * @param weight weight in the fair queue
	 * @param tokensPerSecond rate over the whole fleet
	 * @param burstTokens burst over the whole fleet
	 * @param keys its keys
	 */
	public Team {
		keys = List.copyOf(keys);
	}

	/**
	 * Returns a builder of a team with weight 1.
	 * @param name the name
	 * @return the builder
	 */
	public static Builder builder(String name) {
		return new Builder(name);
	}

	/**
	 * Returns a copy with other keys.
	 * @param keys the keys
	 * @return the copy
	 */
	public Team withKeys(List<TeamKey> keys) {
		return new Team(this.name, this.weight, this.tokensPerSecond, this.burstTokens, keys);
	}

	/**
	 * Builder of a team.
	 */
	public static final class Builder {

		private final String name;

		private int weight = 1;

		private long tokensPerSecond;

		private long burstTokens;

		private final List<TeamKey> keys = new ArrayList<>();

		private Builder(String name) {
			this.name = name;
		}

		/**
		 * Sets the weight in the fair queue.
		 * @param weight the weight, at least 1
		 * @return this builder
		 */
		public Builder weight(int weight) {
			this.weight = weight;
			return this;
		}

		/**
		 * Sets the rate and the burst over the whole fleet.
		 * @param tokensPerSecond the rate
		 * @param burstTokens the burst
		 * @return this builder
		 */
		public Builder rate(long tokensPerSecond, long burstTokens) {
			this.tokensPerSecond = tokensPerSecond;
			this.burstTokens = burstTokens;
			return this;
		}

		/**
		 * Adds a key.
		 * @param key the key
		 * @return this builder
		 */
		public Builder key(TeamKey key) {
			this.keys.add(key);
			return this;
		}

		/**
		 * Returns the team.
		 * @return the team
		 */
		public Team build() {
			return new Team(this.name, this.weight, this.tokensPerSecond, this.burstTokens, this.keys);
		}

	}

}
