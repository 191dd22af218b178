package org.banyanstile.core.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.banyanstile.core.common.TeamId;
import org.jspecify.annotations.Nullable;

/**
 * Limits of all teams at one VM. Tokens come from grants of the owners, and from floors
 * while an owner is unreachable. Safe for use by several threads.
 *
 * @author banyanstile contributors
 */
public final class TeamLimits {

	/**
	 * Period over which the demand of a team is measured. A VM requests in advance the
	 * tokens that it used in the last period. The period is well below the validity of a
	 * grant.
	 */
	private static final long DEMAND_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	/**
	 * Divisor of the burst that gives the number of returned tokens which are sent
	 * without waiting for the next grant request. Otherwise a team that uses many VMs
	 * rarely would lack these tokens.
	 */
	private static final int RETURN_DIVISOR = 100;

	private final Object lock = new Object();

	private final Map<TeamId, TeamState> teams = new HashMap<>();

	private final FloorSchedule[] floors;

	private final int slots;

	private TeamLimits(int slots, int partitions) {
		this.slots = slots;
		this.floors = new FloorSchedule[partitions];
		for (int i = 0; i < partitions; i++) {
			this.floors[i] = new FloorSchedule();
		}
	}

	/**
	 * Creates the limits of a VM that holds no slot yet.
	 * @param slots the number of VM slots
	 * @param partitions the number of partitions of team buckets
	 * @return the limits
	 */
	public static TeamLimits create(int slots, int partitions) {
		return new TeamLimits(slots, partitions);
	}

	/**
	 * Returns the partition that holds the bucket of a team.
	 * @param team the team
	 * @param partitions the number of partitions
	 * @return the partition, from 0
	 */
	public static int partition(TeamId team, int partitions) {
		return Math.floorMod(team.name().hashCode(), partitions);
	}

	/**
	 * Sets the limits that are in force. Teams that are absent are removed.
	 * @param limits the limits of all teams
	 */
	public void configure(Map<TeamId, TeamLimit> limits) {
		synchronized (this.lock) {
			this.teams.keySet().retainAll(limits.keySet());
			limits.forEach((team, limit) -> this.teams.computeIfAbsent(team,
					(id) -> new TeamState(limit, partition(id, this.floors.length))).limit = limit);
		}
	}

	/**
	 * Records that the VM acquired its slot.
	 * @param now the current time in nanoseconds
	 */
	public void slotAcquired(long now) {
		synchronized (this.lock) {
			for (FloorSchedule floor : this.floors) {
				floor.slotAcquired(now);
			}
		}
	}

	/**
	 * Records that the VM lost its slot. It has no floors without one.
	 */
	public void slotLost() {
		synchronized (this.lock) {
			for (FloorSchedule floor : this.floors) {
				floor.slotLost();
			}
		}
	}

	/**
	 * Suspends the floors of a partition. Must return before the heartbeat with the
	 * promise is sent, also for a partition that the VM itself owns.
	 * @param partition the partition that the receiver owns
	 * @param now the current time in nanoseconds
	 */
	public void promiseSent(int partition, long now) {
		synchronized (this.lock) {
			this.floors[partition].promiseSent(now);
		}
	}

	/**
	 * Reserves tokens from grants and floor, or returns the request to send to the owner.
	 * Call it again after a grant was received: another request may have used the tokens.
	 * @param team the team
	 * @param cost prompt tokens and maximum output tokens
	 * @param now the current time in nanoseconds
	 * @return reserved, grant needed, or permanently refused
	 */
	public ReserveResult reserve(TeamId team, long cost, long now) {
		synchronized (this.lock) {
			TeamState state = this.teams.get(team);
			ReserveResult result = tryReserve(team, state, cost, now);
			if (result != null || state == null) {
				return (result != null) ? result : new ReserveResult.RefusedPermanently(0);
			}
			long needed = cost - available(state, now);
			long wanted = Math.max(needed, needed + state.demand.expected(now) - cost);
			return new ReserveResult.GrantNeeded(state.partition, state.unspent.request(team, needed, wanted));
		}
	}

	/**
	 * Reserves tokens from grants and floor without asking the owner, after it refused or
	 * could not be reached.
	 * @param team the team
	 * @param cost prompt tokens and maximum output tokens
	 * @param reply the owner's reply, null if it could not be reached
	 * @param now the current time in nanoseconds
	 * @return reserved, refused, or permanently refused
	 */
	public ReserveResult reserveAvailable(TeamId team, long cost, @Nullable GrantReply reply, long now) {
		synchronized (this.lock) {
			TeamState state = this.teams.get(team);
			ReserveResult result = tryReserve(team, state, cost, now);
			if (result != null || state == null) {
				return (result != null) ? result : new ReserveResult.RefusedPermanently(0);
			}
			if (reply != null && reply.retryAfterNanos() > 0) {
				return new ReserveResult.Refused(reply.retryAfterNanos());
			}
			long missing = cost - available(state, now);
			boolean floorCanCover = this.floors[state.partition].isUsable(now)
					&& cost <= state.limit.burstTokens() / this.slots;
			if (reply != null) {
				return new ReserveResult.Refused(state.limit.refillNanos(missing));
			}
			return new ReserveResult.Refused(floorCanCover ? state.limit.refillNanos((double) missing * this.slots)
					: LimitTimes.SHORT_RETRY_NANOS);
		}
	}

	/**
	 * Adds the tokens of a grant reply.
	 * @param team the team
	 * @param reply the reply
	 * @param sentAt a time before the request was sent
	 * @param now the current time in nanoseconds
	 */
	public void grantReceived(TeamId team, GrantReply reply, long sentAt, long now) {
		synchronized (this.lock) {
			TeamState state = this.teams.get(team);
			if (state != null && reply.tokens() > 0) {
				state.unspent.add(reply, sentAt, now);
			}
		}
	}

	/**
	 * Settles a reservation. Unused granted tokens are returned with the next grant
	 * request; unused tokens of a floor count as used.
	 * @param reservation the reservation
	 * @param used the tokens used, prompt and output
	 */
	public void settle(Reservation reservation, long used) {
		synchronized (this.lock) {
			TeamState state = this.teams.get(reservation.team());
			if (state != null) {
				long unused = Math.min(reservation.granted(), reservation.tokens() - used);
				state.unspent.giveBack(unused, reservation.since(), reservation.ownerToken());
			}
		}
	}

	/**
	 * Creates the requests for returned tokens that are worth a separate message. Called
	 * each second.
	 * @param now the current time in nanoseconds
	 * @return requests that need no tokens, at most one for each team
	 */
	public List<ReserveResult.GrantNeeded> returns(long now) {
		synchronized (this.lock) {
			List<ReserveResult.GrantNeeded> requests = new ArrayList<>();
			this.teams.forEach((team, state) -> {
				available(state, now);
				if (state.unspent.returned() * RETURN_DIVISOR >= state.limit.burstTokens()) {
					requests.add(new ReserveResult.GrantNeeded(state.partition, state.unspent.request(team, 0, 0)));
				}
			});
			return requests;
		}
	}

	/**
	 * Returns whether the floors of a partition are suspended, for the heartbeat.
	 * @param partition the partition
	 * @param now the current time in nanoseconds
	 * @return true if no floor of the partition can be used
	 */
	public boolean areFloorsSuspended(int partition, long now) {
		synchronized (this.lock) {
			return !this.floors[partition].isUsable(now);
		}
	}

	private long available(TeamState state, long now) {
		state.floor.refill(state.limit, this.slots, this.floors[state.partition], now);
		return state.unspent.available(now) + state.floor.available();
	}

	private @Nullable ReserveResult tryReserve(TeamId team, @Nullable TeamState state, long cost, long now) {
		if (state == null || cost > state.limit.burstTokens()) {
			return new ReserveResult.RefusedPermanently((state != null) ? state.limit.burstTokens() : 0);
		}
		if (available(state, now) < cost) {
			return null;
		}
		state.demand.used(cost, now);
		long granted = Math.min(cost, state.unspent.available(now));
		UnspentGrants.Taken taken = state.unspent.take(granted);
		state.floor.take(cost - granted);
		return new ReserveResult.Reserved(
				new Reservation(team, cost, taken.returnable(), taken.since(), taken.owner()));
	}

	private static final class TeamState {

		private final UnspentGrants unspent = new UnspentGrants();

		private final Floor floor = new Floor();

		private final Demand demand = new Demand();

		private final int partition;

		private TeamLimit limit;

		private TeamState(TeamLimit limit, int partition) {
			this.limit = limit;
			this.partition = partition;
		}

	}

	/**
	 * Tokens used in the current and the previous period.
	 */
	private static final class Demand {

		private long period = Long.MIN_VALUE;

		private long current;

		private long previous;

		private void used(long tokens, long now) {
			roll(now);
			this.current += tokens;
		}

		private long expected(long now) {
			roll(now);
			return this.previous;
		}

		private void roll(long now) {
			long index = Math.floorDiv(now, DEMAND_NANOS);
			if (index == this.period) {
				return;
			}
			this.previous = (index == this.period + 1) ? this.current : 0;
			this.current = 0;
			this.period = index;
		}

	}

}
