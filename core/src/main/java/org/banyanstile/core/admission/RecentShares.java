package org.banyanstile.core.admission;

import java.util.HashMap;
import java.util.Map;

import org.banyanstile.core.common.TeamId;

/**
 * Shares of the teams in the recently granted tokens. Older grants count less: instead of
 * reducing all of them at each grant, each new grant counts more than the one before, so
 * that the cost of a grant does not depend on the number of teams. Not safe for use by
 * several threads.
 *
 * @author banyanstile contributors
 */
final class RecentShares {

	/**
	 * Number of grants over which the weight of a grant decays to 1/e. It is several
	 * times the slots of a pool, so that the share of a team does not depend on a few
	 * requests.
	 */
	private static final double DECAY_GRANTS = 500;

	/**
	 * Share below which a team is removed.
	 */
	private static final double NEGLIGIBLE_SHARE = 0.001;

	/**
	 * Multiple of the fair share from which a team counts as above its share. Over ten
	 * seeds, the worst team of a pool of 80 slots gets 0.943 of its fair share with 1.2
	 * and 0.958 with 1.1, at the cost of 10% more refusals of equal teams at 95% load.
	 */
	private static final double ABOVE_SHARE_FACTOR = 1.1;

	private static final double GROWTH = 1 / (1 - 1 / DECAY_GRANTS);

	/**
	 * Number of grants between two clean-ups. The unit grows by a factor below 1.14 in
	 * that time.
	 */
	private static final int GRANTS_PER_CLEAN_UP = 64;

	private final Map<TeamId, Granted> teams = new HashMap<>();

	private double unit = 1;

	private double total;

	private double weights;

	private int grants;

	void granted(SlotRequest request) {
		this.unit *= GROWTH;
		double tokens = request.cost() * this.unit;
		Granted old = this.teams.get(request.team());
		double before = (old != null) ? old.tokens() : 0;
		this.weights += request.weight() - ((old != null) ? old.weight() : 0);
		this.teams.put(request.team(), new Granted(before + tokens, request.weight()));
		this.total += tokens;
		if (++this.grants == GRANTS_PER_CLEAN_UP) {
			cleanUp();
		}
	}

	/**
	 * Removes teams with a negligible share, and rescales all tokens to the unit of the
	 * latest grant, so that no number grows without bound.
	 */
	private void cleanUp() {
		this.teams.values().removeIf((granted) -> granted.tokens() < NEGLIGIBLE_SHARE * this.total);
		this.teams.replaceAll((team, granted) -> new Granted(granted.tokens() / this.unit, granted.weight()));
		this.weights = this.teams.values().stream().mapToDouble(Granted::weight).sum();
		this.total /= this.unit;
		this.unit = 1;
		this.grants = 0;
	}

	/**
	 * Returns whether a team was granted clearly more than its fair share.
	 * @param request a request of the team
	 * @return whether it is above its share
	 */
	boolean isAboveShare(SlotRequest request) {
		Granted own = this.teams.get(request.team());
		return own != null && own.tokens() * this.weights > ABOVE_SHARE_FACTOR * this.total * own.weight();
	}

	/**
	 * Tokens granted to a team.
	 *
	 * @param tokens the tokens, in the unit of the grants at the last clean-up
	 * @param weight weight of the team
	 * @author banyanstile contributors
	 */
	private record Granted(double tokens, double weight) {

	}

}
