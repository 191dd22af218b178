package org.banyanstile.server.fleet;

import java.time.Duration;
import java.util.Map;
import java.util.stream.Collectors;

import org.banyanstile.config.FleetConfiguration;
import org.banyanstile.core.common.TeamId;
import org.banyanstile.core.common.Ticker;
import org.banyanstile.core.common.VmId;
import org.banyanstile.core.limit.GrantReply;
import org.banyanstile.core.limit.GrantRequest;
import org.banyanstile.core.limit.Reservation;
import org.banyanstile.core.limit.ReserveResult;
import org.banyanstile.core.limit.TeamLimit;
import org.banyanstile.core.limit.TeamLimits;
import org.banyanstile.server.caller.LimitDecision;
import org.banyanstile.server.caller.TeamLimiter;
import org.banyanstile.server.vm.Failure;
import org.banyanstile.server.vm.FloorPromise;
import org.banyanstile.server.vm.FloorQuery;
import org.banyanstile.server.vm.MessageHandlers;
import org.banyanstile.server.vm.VmRequestException;
import org.jspecify.annotations.Nullable;

/**
 * Enforces the rate and burst of each team over the whole fleet: with grants of the owner
 * of the team's bucket, or with this VM's floor while the owner cannot be reached.
 *
 * @author banyanstile contributors
 */
public final class FleetTeamLimiter implements TeamLimiter {

	private static final Duration GRANT_TIMEOUT = Duration.ofMillis(300);

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final Ownership ownership;

	private final SlotView slots;

	private final Messenger messenger;

	private final Ticker ticker;

	private final TeamLimits limits;

	private final TeamBucketOwners owners;

	private long heldEpoch;

	private int heldSlot = SlotView.NO_SLOT;

	private FleetTeamLimiter(Ownership ownership, SlotView slots, Messenger messenger, int slotCount, Ticker ticker) {
		this.ownership = ownership;
		this.slots = slots;
		this.messenger = messenger;
		this.ticker = ticker;
		this.limits = TeamLimits.create(slotCount, Partitions.COUNT);
		this.owners = new TeamBucketOwners(ownership, slots, slotCount);
	}

	/**
	 * Creates the limiter and registers its message handlers.
	 * @param ownership owners of partitions
	 * @param slots the VM slots
	 * @param messenger sends messages
	 * @param slotCount number of VM slots
	 * @param ticker time source
	 * @param handlers handlers of incoming messages
	 * @return the limiter
	 */
	public static FleetTeamLimiter create(Ownership ownership, SlotView slots, Messenger messenger, int slotCount,
			Ticker ticker, MessageHandlers handlers) {
		FleetTeamLimiter limiter = new FleetTeamLimiter(ownership, slots, messenger, slotCount, ticker);
		handlers.registerInline(GrantRequest.class, limiter::handleGrantRequest);
		handlers.registerInline(FloorQuery.class, limiter::handleFloorQuery);
		handlers.registerInline(FloorPromise.class, limiter::handleFloorPromise);
		return limiter;
	}

	/**
	 * Applies the limits of a configuration version.
	 * @param configuration the configuration
	 */
	public void configure(FleetConfiguration configuration) {
		Map<TeamId, TeamLimit> all = configuration.teams()
			.stream()
			.filter((team) -> team.tokensPerSecond() > 0 && team.burstTokens() > 0)
			.collect(Collectors.toMap((team) -> TeamId.of(team.name()),
					(team) -> new TeamLimit(team.tokensPerSecond(), team.burstTokens())));
		this.limits.configure(all);
		this.owners.configure(all, this.ticker.nanos());
	}

	/**
	 * Applies changes of the VM slot and of ownership, and asks the other VMs for floor
	 * promises. Must be called every second.
	 */
	public void update() {
		long now = this.ticker.nanos();
		updateSlot(now);
		long owned = this.owners.update(now);
		if (owned == 0) {
			return;
		}
		for (VmId vm : this.slots.holders()) {
			if (!vm.equals(this.ownership.self())) {
				this.messenger.send(vm, new FloorQuery(owned, now));
			}
		}
		if (this.slots.slot() != SlotView.NO_SLOT) {
			suspendFloors(owned, now);
			this.owners.promised(new FloorPromise(this.slots.slot(), owned, now), now);
		}
	}

	private synchronized void updateSlot(long now) {
		int slot = this.slots.slot();
		long epoch = this.slots.epoch();
		if (slot == this.heldSlot && epoch == this.heldEpoch) {
			return;
		}
		if (slot == SlotView.NO_SLOT) {
			this.limits.slotLost();
		}
		else {
			this.limits.slotAcquired(now);
		}
		this.heldSlot = slot;
		this.heldEpoch = epoch;
	}

	private void suspendFloors(long partitions, long now) {
		for (int i = 0; i < Partitions.COUNT; i++) {
			if ((partitions & (1L << i)) != 0) {
				this.limits.promiseSent(i, now);
			}
		}
	}

	@Override
	public LimitDecision reserve(TeamId team, long tokens) {
		ReserveResult result = this.limits.reserve(team, tokens, this.ticker.nanos());
		if (result instanceof ReserveResult.GrantNeeded needed) {
			result = requestGrant(team, tokens, needed);
		}
		if (result instanceof ReserveResult.Reserved reserved) {
			return new LimitDecision.Reserved(team, tokens, reserved.reservation());
		}
		if (result instanceof ReserveResult.RefusedPermanently refused) {
			return new LimitDecision.TooLarge((long) refused.burstTokens());
		}
		long nanos = (result instanceof ReserveResult.Refused refused) ? refused.retryAfterNanos() : NANOS_PER_MILLI;
		return new LimitDecision.Limited(Math.max(1, (nanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI));
	}

	private ReserveResult requestGrant(TeamId team, long tokens, ReserveResult.GrantNeeded needed) {
		long sentAt = this.ticker.nanos();
		GrantReply reply = requestGrant(needed);
		long now = this.ticker.nanos();
		if (reply != null) {
			this.limits.grantReceived(team, reply, sentAt, now);
		}
		return this.limits.reserveAvailable(team, tokens, reply, now);
	}

	private @Nullable GrantReply requestGrant(ReserveResult.GrantNeeded needed) {
		VmId owner = this.ownership.ownerOf(Partitions.team(needed.partition()));
		if (owner == null) {
			return null;
		}
		if (owner.equals(this.ownership.self())) {
			return this.owners.grant(needed.request(), this.ticker.nanos());
		}
		try {
			return this.messenger.request(owner, needed.request(), GrantReply.class, GRANT_TIMEOUT);
		}
		catch (VmRequestException ex) {
			return null;
		}
	}

	@Override
	public void settle(LimitDecision.Reserved reservation, long usedTokens) {
		this.limits.settle((Reservation) reservation.handle(), Math.min(usedTokens, reservation.tokens()));
	}

	private Record handleGrantRequest(VmId from, GrantRequest request) {
		GrantReply reply = this.owners.grant(request, this.ticker.nanos());
		return (reply != null) ? reply : new Failure("not the owner");
	}

	private @Nullable Record handleFloorQuery(VmId from, FloorQuery query) {
		int slot = this.slots.slot();
		if (slot != SlotView.NO_SLOT) {
			suspendFloors(query.partitions(), this.ticker.nanos());
			this.messenger.send(from, new FloorPromise(slot, query.partitions(), query.sentAt()));
		}
		return null;
	}

	private @Nullable Record handleFloorPromise(VmId from, FloorPromise promise) {
		long now = this.ticker.nanos();
		if (promise.sentAt() <= now) {
			this.owners.promised(promise, now);
		}
		return null;
	}

}
