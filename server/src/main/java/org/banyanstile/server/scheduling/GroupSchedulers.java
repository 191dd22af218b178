package org.banyanstile.server.scheduling;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.banyanstile.server.gossip.GossipMember;
import org.jspecify.annotations.Nullable;

/**
 * Schedulers that this VM has used for a group. Safe for use by several threads.
 *
 * @author banyanstile contributors
 */
final class GroupSchedulers {

	/**
	 * Time for which a former scheduler learns of the placements of this VM, since other
	 * VMs may still use it.
	 */
	private static final long FORMER_NANOS = 6_000_000_000L;

	private final Map<String, Used> used = new HashMap<>();

	private @Nullable GossipMember current;

	private boolean handover;

	private long activeAt;

	private long reportedAt;

	private int missedReplies;

	GroupSchedulers(long now) {
		this.activeAt = now;
		this.reportedAt = now;
	}

	/**
	 * Sets the current scheduler.
	 * @param scheduler the scheduler
	 * @param now the current time in nanoseconds
	 * @return whether it is another one than before
	 */
	synchronized boolean use(GossipMember scheduler, long now) {
		GossipMember before = this.current;
		this.current = scheduler;
		this.used.put(scheduler.vm(), new Used(scheduler, now));
		boolean changed = before == null || !before.vm().equals(scheduler.vm())
				|| before.incarnation() != scheduler.incarnation();
		if (changed) {
			this.missedReplies = 0;
			this.handover |= before != null;
		}
		return changed;
	}

	/**
	 * Returns whether the group had another scheduler before, as far as this VM knows.
	 * @return whether it had
	 */
	synchronized boolean isHandover() {
		return this.handover;
	}

	synchronized List<GossipMember> recent(long now) {
		this.used.values().removeIf((scheduler) -> now - scheduler.at() > FORMER_NANOS);
		return this.used.values().stream().map(Used::member).toList();
	}

	synchronized @Nullable GossipMember find(String vm) {
		Used scheduler = this.used.get(vm);
		return (scheduler != null) ? scheduler.member() : null;
	}

	synchronized void active(long now) {
		this.activeAt = now;
	}

	synchronized boolean isActive(long now) {
		return now - this.activeAt <= FORMER_NANOS;
	}

	/**
	 * Records a report of holdings.
	 * @param now the current time in nanoseconds
	 * @return time of the report before
	 */
	synchronized long reported(long now) {
		long before = this.reportedAt;
		this.reportedAt = now;
		return before;
	}

	/**
	 * Records whether the current scheduler replied after the last report.
	 * @param replied whether it did
	 * @return whether two reports in a row got no reply
	 */
	synchronized boolean isSilent(boolean replied) {
		this.missedReplies = replied ? 0 : this.missedReplies + 1;
		return this.missedReplies >= 2;
	}

	private record Used(GossipMember member, long at) {

	}

}
