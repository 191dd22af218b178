package org.banyanstile.core.admission;

import java.util.HashMap;
import java.util.Map;

import org.banyanstile.core.common.TeamId;

/**
 * Shares of the teams in the tokens granted lately. Not safe for use by several threads.
 *
 * @author banyanstile contributors
 */
final class RecentShares {

	/**
	 * Number of requests over which a grant is forgotten. It is several times the slots
	 * of a pool, so that a team is not judged by a few requests.
	 */
	private static final double MEAN_OVER = 500;

	/**
	 * Share below which a team is forgotten.
	 */
	private static final double NEGLIGIBLE = 0.001;

	/**
	 * Excess over the fair share from which a team counts as above it. Over ten seeds,
	 * the worst team of a pool of 80 slots got 0.943 of its fair share with 1.2 and 0.958
	 * with 1.1, for 10% more refusals of equal teams at 95% load.
	 */
	private static final double EXCESS = 1.1;

	private final Map<TeamId, Granted> teams = new HashMap<>();

	private double total;

	void granted(SlotRequest request) {
		this.total = this.total * (1 - 1 / MEAN_OVER) + request.cost();
		this.teams.replaceAll((team, granted) -> granted.decayed());
		this.teams.merge(request.team(), new Granted(request.cost(), request.weight()),
				(old, added) -> new Granted(old.tokens() + added.tokens(), added.weight()));
		this.teams.values().removeIf((granted) -> granted.tokens() < NEGLIGIBLE * this.total);
	}

	/**
	 * Returns whether a team was granted clearly more than its fair share.
	 * @param request a request of the team
	 * @return whether it is above its share
	 */
	boolean isAboveShare(SlotRequest request) {
		Granted own = this.teams.get(request.team());
		if (own == null) {
			return false;
		}
		double weights = this.teams.values().stream().mapToDouble(Granted::weight).sum();
		return own.tokens() * weights > EXCESS * this.total * own.weight();
	}

	/**
	 * Tokens granted to a team.
	 *
	 * @param tokens the tokens, older ones counted less
	 * @param weight weight of the team
	 * @author banyanstile contributors
	 */
	private record Granted(double tokens, double weight) {

		Granted decayed() {
			return new Granted(this.tokens * (1 - 1 / MEAN_OVER), this.weight);
		}

	}

}
