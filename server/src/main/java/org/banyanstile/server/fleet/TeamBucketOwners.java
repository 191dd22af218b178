package org.banyanstile.server.fleet;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;

import org.banyanstile.core.common.TeamId;
import org.banyanstile.core.limit.GrantReply;
import org.banyanstile.core.limit.GrantRequest;
import org.banyanstile.core.limit.TeamBucketOwner;
import org.banyanstile.core.limit.TeamLimit;
import org.banyanstile.core.limit.TeamLimits;
import org.banyanstile.server.vm.FloorPromise;
import org.jspecify.annotations.Nullable;

/**
 * Buckets of the teams whose partitions this VM owns.
 *
 * @author banyanstile contributors
 */
final class TeamBucketOwners {

	private final Ownership ownership;

	private final SlotView slots;

	private final int slotCount;

	private final Map<Integer, OwnedPartition> owned = new ConcurrentHashMap<>();

	private volatile Map<TeamId, TeamLimit> limits = Map.of();

	TeamBucketOwners(Ownership ownership, SlotView slots, int slotCount) {
		this.ownership = ownership;
		this.slots = slots;
		this.slotCount = slotCount;
	}

	void configure(Map<TeamId, TeamLimit> limits, long now) {
		this.limits = Map.copyOf(limits);
		this.owned.forEach((partition, bucket) -> bucket.owner().configure(limitsOfPartition(partition), now));
	}

	private Map<TeamId, TeamLimit> limitsOfPartition(int partition) {
		return this.limits.entrySet()
			.stream()
			.filter((entry) -> TeamLimits.partition(entry.getKey(), Partitions.COUNT) == partition)
			.collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
	}

	/**
	 * Applies changes of ownership.
	 * @param now the current time
	 * @return the owned partitions, as a bit mask
	 */
	long update(long now) {
		SlotView.Unheld unheld = this.slots.unheld();
		long mask = 0;
		for (int i = 0; i < Partitions.COUNT; i++) {
			TeamBucketOwner owner = owner(i, now);
			if (owner != null) {
				mask |= 1L << i;
				if (unheld != null) {
					owner.unheld(unheld.slots(), unheld.scanStartedAt(), now);
				}
			}
		}
		return mask;
	}

	private @Nullable TeamBucketOwner owner(int partition, long now) {
		long token = this.ownership.tokenOf(Partitions.team(partition));
		if (token == 0) {
			return null;
		}
		return this.owned.compute(partition, (number, current) -> {
			if (current != null && current.token() == token) {
				return current;
			}
			TeamBucketOwner owner = TeamBucketOwner.takeOver(this.slotCount, token, now);
			owner.configure(limitsOfPartition(number), now);
			return new OwnedPartition(token, owner);
		}).owner();
	}

	void promised(FloorPromise promise, long now) {
		for (int i = 0; i < Partitions.COUNT; i++) {
			OwnedPartition bucket = this.owned.get(i);
			if ((promise.partitions() & (1L << i)) != 0 && bucket != null) {
				bucket.owner().promised(promise.slot(), promise.sentAt(), now);
			}
		}
	}

	/**
	 * Handles a grant request.
	 * @param request the request
	 * @param now the current time
	 * @return the reply, or {@code null} if this VM does not own the partition
	 */
	@Nullable
	GrantReply grant(GrantRequest request, long now) {
		TeamBucketOwner owner = owner(TeamLimits.partition(request.team(), Partitions.COUNT), now);
		return (owner != null) ? owner.grant(request, now) : null;
	}

	/**
	 * Buckets of an owned partition.
	 *
	 * @param token fencing token of the ownership
	 * @param owner the buckets
	 * @author banyanstile contributors
	 */
	private record OwnedPartition(long token, TeamBucketOwner owner) {

	}

}
