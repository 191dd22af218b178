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
 * Compares the owned pools with their endpoints: applies the configuration, lists the
 * streams of engines, and cancels streams whose VM is gone.
 *
 * @author banyanstile contributors
 */
public final class PoolReconciler {

	/**
	 * Time for another VM to take over a stream whose VM is gone.
	 */
	private static final long ORPHAN_NANOS = 5_000_000_000L;

	private final PoolOwner owner;

	private final SlotView vms;

	private final Ownership ownership;

	private final ConfigurationView configuration;

	private final EngineClient engine;

	private final EngineCanceller canceller;

	private final Ticker ticker;

	private final Map<String, Long> orphans = new HashMap<>();

	private Set<VmId> holders = Set.of();

	/**
	 * Creates a reconciler.
	 * @param owner the owned pools
	 * @param vms slots of VMs
	 * @param ownership owners of partitions
	 * @param configuration the configuration
	 * @param engine client for engines
	 * @param canceller cancels at engines
	 * @param ticker time source
	 */
	public PoolReconciler(PoolOwner owner, SlotView vms, Ownership ownership, ConfigurationView configuration,
			EngineClient engine, EngineCanceller canceller, Ticker ticker) {
		this.owner = owner;
		this.vms = vms;
		this.ownership = ownership;
		this.configuration = configuration;
		this.engine = engine;
		this.canceller = canceller;
		this.ticker = ticker;
	}

	/**
	 * Reconciles all owned pools. Call it every 2 s from one thread.
	 */
	public void reconcile() {
		Map<Pool, List<EndpointTarget>> pools = this.configuration.current()
			.endpoints()
			.stream()
			.collect(Collectors.groupingBy(EndpointTarget::pool));
		Set<VmId> gone = new HashSet<>(this.holders);
		this.holders = Set.copyOf(this.vms.holders());
		gone.removeAll(this.holders);
		Set<String> seen = new HashSet<>();
		pools.forEach((pool, targets) -> {
			OwnedPool owned = this.owner.owned(pool);
			if (owned != null) {
				reconcile(owned, targets, gone, seen);
			}
		});
		this.orphans.keySet().retainAll(seen);
	}

	private void reconcile(OwnedPool owned, List<EndpointTarget> targets, Set<VmId> gone, Set<String> seen) {
		List<Candidate> candidates = targets.stream()
			.filter(EndpointTarget::active)
			.map((target) -> new Candidate(target.id(), target.slots()))
			.toList();
		this.owner.send(owned.answers(owned.broker().configure(candidates, this.ticker.nanos())));
		gone.forEach((vm) -> this.owner.send(owned.answers(owned.broker().vmRemoved(vm, this.ticker.nanos()))));
		for (EndpointTarget target : targets) {
			if (target.pool().role() == PoolRole.DECODE) {
				observe(owned, target, seen);
			}
			else {
				long now = this.ticker.nanos();
				this.owner.send(owned.answers(owned.broker().observed(target.id(), List.of(), now, now)));
			}
		}
		owned.setReady();
	}

	private void observe(OwnedPool owned, EndpointTarget target, Set<String> seen) {
		long askedAt = this.ticker.nanos();
		try {
			List<ObservedStream> streams = new ArrayList<>();
			for (EngineStream stream : this.engine.streams(target.address())) {
				VmId vm = holder(stream);
				streams.add(new ObservedStream(stream.requestId(), vm));
				if (!vm.equals(this.ownership.self()) && !this.holders.contains(vm)) {
					orphan(target, stream, seen);
				}
			}
			this.owner.send(owned.answers(owned.broker().observed(target.id(), streams, askedAt, this.ticker.nanos())));
			if (this.engine.load(target.address()).cold()) {
				owned.broker().coldDetected(target.id());
			}
		}
		catch (EndpointException ex) {
			// An endpoint that does not answer is noticed by the requests sent to it.
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

	private void orphan(EndpointTarget target, EngineStream stream, Set<String> seen) {
		String key = target.id() + "/" + stream.requestId();
		seen.add(key);
		long now = this.ticker.nanos();
		long since = this.orphans.computeIfAbsent(key, (same) -> now);
		if (now - since >= ORPHAN_NANOS) {
			this.canceller.cancel(target.address(), stream.requestId());
		}
	}

}
