package org.banyanstile.server.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.banyanstile.core.admission.ObservedStream;
import org.banyanstile.core.common.Ticker;
import org.banyanstile.core.common.VmId;
import org.banyanstile.core.routing.Candidate;
import org.banyanstile.server.caller.ConfigurationView;
import org.banyanstile.server.caller.EndpointTarget;
import org.banyanstile.server.caller.EngineCanceller;
import org.banyanstile.server.caller.Pool;
import org.banyanstile.server.caller.PoolRole;
import org.banyanstile.server.endpoint.EndpointException;
import org.banyanstile.server.endpoint.EngineClient;
import org.banyanstile.server.endpoint.EngineStream;

/**
 * Aligns the owned pools with their endpoints: applies the configuration, lists the
 * streams of engines, and cancels streams whose VM holds no VM slot any more.
 *
 * @author banyanstile contributors
 */
public final class PoolReconciler {

	/**
	 * Time for another VM to take over a stream whose VM holds no VM slot any more.
	 */
	private static final long ORPHAN_GRACE_NANOS = 5_000_000_000L;

	private final PoolOwner owner;

	private final SlotView slots;

	private final Ownership ownership;

	private final ConfigurationView configuration;

	private final EngineClient engine;

	private final EngineCanceller canceller;

	private final Ticker ticker;

	private final Map<String, Long> orphanedSince = new HashMap<>();

	private Set<VmId> slotHolders = Set.of();

	/**
	 * Creates a reconciler.
	 * @param owner the owned pools
	 * @param slots the VM slots
	 * @param ownership owners of partitions
	 * @param configuration the configuration
	 * @param engine client for engines
	 * @param canceller cancels at engines
	 * @param ticker time source
	 */
	public PoolReconciler(PoolOwner owner, SlotView slots, Ownership ownership, ConfigurationView configuration,
			EngineClient engine, EngineCanceller canceller, Ticker ticker) {
		this.owner = owner;
		this.slots = slots;
		this.ownership = ownership;
		this.configuration = configuration;
		this.engine = engine;
		this.canceller = canceller;
		this.ticker = ticker;
	}

	/**
	 * Reconciles all owned pools. Must be called every 2 s, always from one thread.
	 */
	public void reconcile() {
		Map<Pool, List<EndpointTarget>> pools = this.configuration.current()
			.endpoints()
			.stream()
			.collect(Collectors.groupingBy(EndpointTarget::pool));
		Set<VmId> removedVms = new HashSet<>(this.slotHolders);
		this.slotHolders = Set.copyOf(this.slots.holders());
		removedVms.removeAll(this.slotHolders);
		Set<String> seen = new HashSet<>();
		pools.forEach((pool, targets) -> {
			OwnedPool owned = this.owner.owned(pool);
			if (owned != null) {
				reconcile(owned, targets, removedVms, seen);
			}
		});
		this.orphanedSince.keySet().retainAll(seen);
	}

	private void reconcile(OwnedPool owned, List<EndpointTarget> targets, Set<VmId> removedVms, Set<String> seen) {
		List<Candidate> candidates = targets.stream()
			.filter(EndpointTarget::active)
			.map((target) -> new Candidate(target.id(), target.slots()))
			.toList();
		this.owner.send(owned.replies(owned.broker().configure(candidates, this.ticker.nanos())));
		removedVms.forEach((vm) -> this.owner.send(owned.replies(owned.broker().vmRemoved(vm, this.ticker.nanos()))));
		for (EndpointTarget target : targets) {
			if (target.pool().role() == PoolRole.DECODE) {
				observe(owned, target, seen);
			}
			else {
				long now = this.ticker.nanos();
				this.owner.send(owned.replies(owned.broker().observed(target.id(), List.of(), now, now)));
			}
		}
		owned.setReady();
	}

	private void observe(OwnedPool owned, EndpointTarget target, Set<String> seen) {
		long requestedAt = this.ticker.nanos();
		try {
			List<ObservedStream> streams = new ArrayList<>();
			for (EngineStream stream : this.engine.streams(target.address())) {
				VmId vm = holder(stream);
				streams.add(new ObservedStream(stream.requestId(), vm));
				if (!vm.equals(this.ownership.self()) && !this.slotHolders.contains(vm)) {
					cancelIfOrphaned(target, stream, seen);
				}
			}
			this.owner
				.send(owned.replies(owned.broker().observed(target.id(), streams, requestedAt, this.ticker.nanos())));
			if (this.engine.load(target.address()).cold()) {
				owned.broker().coldDetected(target.id());
			}
		}
		catch (EndpointException ex) {
			// An endpoint that does not respond is detected by the requests sent to it.
		}
	}

	private static VmId holder(EngineStream stream) {
		int slash = stream.holder().indexOf('/');
		try {
			return VmId.of((slash > 0) ? stream.holder().substring(0, slash) : stream.holder());
		}
		catch (IllegalArgumentException ex) {
			return VmId.of("unknown");
		}
	}

	private void cancelIfOrphaned(EndpointTarget target, EngineStream stream, Set<String> seen) {
		String key = target.id() + "/" + stream.requestId();
		seen.add(key);
		long now = this.ticker.nanos();
		long since = this.orphanedSince.computeIfAbsent(key, (same) -> now);
		if (now - since >= ORPHAN_GRACE_NANOS) {
			this.canceller.cancel(target.address(), stream.requestId());
		}
	}

}
