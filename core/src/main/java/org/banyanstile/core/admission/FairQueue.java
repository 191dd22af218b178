package org.banyanstile.core.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

import org.banyanstile.core.common.TeamId;
import org.jspecify.annotations.Nullable;

/**
 * Queue of requests with start-time fair queueing across teams, in tokens divided by
 * weight. A team is charged when a request is served, so refused requests cost it
 * nothing. Not safe for use by several threads.
 *
 * @author banyanstile contributors
 */
final class FairQueue {

	private final Map<TeamId, TeamQueue> backlogged = new HashMap<>();

	private final Map<TeamId, Double> idleTags = new HashMap<>();

	private double virtualTime;

	/**
	 * How far a team that used less than its share may lag behind the virtual time.
	 * Without it, a team would lose the share that it does not use while it is idle, and
	 * a team that sends in bursts would get less than a team that sends all the time.
	 */
	private double credit;

	private int size;

	int size() {
		return this.size;
	}

	void credit(double tokens) {
		this.credit = tokens;
	}

	/**
	 * Counts the teams that used the pool recently. An idle team is removed once its
	 * whole credit is restored.
	 * @return the number of teams
	 */
	int activeTeams() {
		this.idleTags.values().removeIf((tag) -> tag < this.virtualTime - this.credit);
		return this.backlogged.size() + this.idleTags.size();
	}

	/**
	 * Returns whether a team used less than its share recently.
	 * @param team the team
	 * @return true if the team is behind the virtual time
	 */
	boolean isBehind(TeamId team) {
		TeamQueue queue = this.backlogged.get(team);
		return ((queue != null) ? queue.tag : startTag(this.idleTags.get(team))) < this.virtualTime;
	}

	private double startTag(@Nullable Double lastTag) {
		double earliest = this.virtualTime - this.credit;
		return Math.max(earliest, (lastTag != null) ? lastTag : earliest);
	}

	void add(QueuedRequest queued) {
		TeamQueue queue = this.backlogged.get(queued.request().team());
		if (queue == null) {
			Double tag = this.idleTags.remove(queued.request().team());
			queue = new TeamQueue(startTag(tag));
			this.backlogged.put(queued.request().team(), queue);
		}
		queue.requests.add(queued);
		this.size++;
	}

	/**
	 * Removes the next request in fair order.
	 * @param placeable whether an endpoint is free for the request
	 * @return the request, null if no team's first request can be placed
	 */
	@Nullable
	QueuedRequest poll(Predicate<SlotRequest> placeable) {
		TeamQueue best = null;
		for (TeamQueue queue : this.backlogged.values()) {
			if ((best == null || queue.tag < best.tag) && placeable.test(queue.requests.element().request())) {
				best = queue;
			}
		}
		if (best == null) {
			return null;
		}
		QueuedRequest next = best.requests.remove();
		this.size--;
		this.virtualTime = Math.max(this.virtualTime, best.tag);
		best.tag += next.request().cost() / next.request().weight();
		markIdleIfEmpty(next.request().team(), best);
		return next;
	}

	/**
	 * Estimates how many requests are served before a new one of a team.
	 * @param request the new request
	 * @return the number of requests
	 */
	int ahead(SlotRequest request) {
		TeamQueue own = this.backlogged.get(request.team());
		double tag = (own != null) ? own.tag : startTag(this.idleTags.get(request.team()));
		if (own != null) {
			for (QueuedRequest queued : own.requests) {
				tag += queued.request().cost() / queued.request().weight();
			}
		}
		int ahead = 0;
		for (TeamQueue queue : this.backlogged.values()) {
			double start = queue.tag;
			for (QueuedRequest queued : queue.requests) {
				if (start > tag) {
					break;
				}
				ahead++;
				start += queued.request().cost() / queued.request().weight();
			}
		}
		return ahead;
	}

	List<QueuedRequest> removeIf(Predicate<QueuedRequest> condition) {
		List<QueuedRequest> removed = new ArrayList<>();
		for (TeamId team : List.copyOf(this.backlogged.keySet())) {
			TeamQueue queue = this.backlogged.get(team);
			if (queue == null) {
				continue;
			}
			for (Iterator<QueuedRequest> all = queue.requests.iterator(); all.hasNext();) {
				QueuedRequest queued = all.next();
				if (condition.test(queued)) {
					removed.add(queued);
					all.remove();
					this.size--;
				}
			}
			markIdleIfEmpty(team, queue);
		}
		return removed;
	}

	private void markIdleIfEmpty(TeamId team, TeamQueue queue) {
		if (!queue.requests.isEmpty()) {
			return;
		}
		this.backlogged.remove(team);
		this.idleTags.put(team, queue.tag);
	}

	/**
	 * Request in the queue.
	 *
	 * @param request the request
	 * @param refuseAt the time at which it is refused
	 */
	record QueuedRequest(SlotRequest request, long refuseAt) {
	}

	private static final class TeamQueue {

		private final Deque<QueuedRequest> requests = new ArrayDeque<>();

		private double tag;

		private TeamQueue(double tag) {
			this.tag = tag;
		}

	}

}
