package org.banyanstile.server.fleet;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

import org.banyanstile.core.common.Ticker;
import org.banyanstile.core.common.VmId;
import org.banyanstile.server.caller.ConfigurationView;
import org.banyanstile.server.caller.EndpointTarget;
import org.banyanstile.server.caller.EngineCanceller;
import org.banyanstile.server.caller.Pool;
import org.banyanstile.server.caller.PoolRole;
import org.banyanstile.server.caller.SlotOutcome;
import org.banyanstile.server.endpoint.EndpointException;
import org.banyanstile.server.endpoint.EngineClient;
import org.banyanstile.server.endpoint.EngineStream;
import org.banyanstile.server.vm.MessageHandlers;
import org.banyanstile.server.vm.SlotRelease;
import org.banyanstile.server.vm.SlotRenew;
import org.banyanstile.server.vm.SlotReply;
import org.banyanstile.server.vm.SlotRequest;
import org.jspecify.annotations.Nullable;

/**
 * Grants the slots of the pools that this VM owns, and cancels streams whose VM is gone.
 *
 * @author banyanstile contributors
 */
public final class PoolOwner {

	/**
	 * Time for another VM to take over a stream whose VM is gone.
	 */
	private static final long ORPHAN_NANOS = 5_000_000_000L;

	private final Ownership ownership;

	private final SlotView vms;

	private final Messenger messenger;

	private final ConfigurationView configuration;

	private final EngineClient engine;

	private final EngineCanceller canceller;

	private final Ticker ticker;

	private final Map<Pool, Owned> pools = new ConcurrentHashMap<>();

	private final Map<String, Long> orphans = new ConcurrentHashMap<>();

	private volatile Consumer<SlotReply> ownReplies = (reply) -> {
	};

	private PoolOwner(Ownership ownership, SlotView vms, Messenger messenger, ConfigurationView configuration,
			EngineClient engine, EngineCanceller canceller, Ticker ticker) {
		this.ownership = ownership;
		this.vms = vms;
		this.messenger = messenger;
		this.configuration = configuration;
		this.engine = engine;
		this.canceller = canceller;
		this.ticker = ticker;
	}

	/**
	 * Creates the owner side and registers its message handlers.
	 * @param ownership owners of partitions
	 * @param vms slots of VMs
	 * @param messenger sends messages
	 * @param configuration the configuration
	 * @param engine client for engines
	 * @param canceller cancels at engines
	 * @param ticker time source
	 * @param handlers handlers of incoming messages
	 * @return the owner side
	 */
	public static PoolOwner create(Ownership ownership, SlotView vms, Messenger messenger,
			ConfigurationView configuration, EngineClient engine, EngineCanceller canceller, Ticker ticker,
			MessageHandlers handlers) {
		PoolOwner owner = new PoolOwner(ownership, vms, messenger, configuration, engine, canceller, ticker);
		handlers.registerInline(SlotRequest.class, owner::request);
		handlers.registerInline(SlotRelease.class, owner::release);
		handlers.registerInline(SlotRenew.class, owner::renew);
		return owner;
	}

	/**
	 * Sets what receives the replies to requests of this VM itself.
	 * @param receiver the receiver
	 */
	void setOwnReplies(Consumer<SlotReply> receiver) {
		this.ownReplies = receiver;
	}

	@Nullable
	Record request(VmId from, SlotRequest request) {
		Pool pool = Pool.parse(request.pool());
		PoolSlots slots = ready(pool);
		if (slots == null) {
			send(List.of(new PoolSlots.Answer(from,
					new SlotReply(request.pool(), request.requestId(), null, SlotReply.NOT_READY, 0))));
			return null;
		}
		long now = this.ticker.nanos();
		SlotWait waiting = new SlotWait(from, request, this.configuration.current().weightOf(request.team()),
				now + request.deadlineMillis() * 1_000_000);
		send(slots.request(waiting, targets(pool), now));
		return null;
	}

	@Nullable
	Record release(VmId from, SlotRelease release) {
		Pool pool = Pool.parse(release.pool());
		PoolSlots slots = ready(pool);
		if (slots != null) {
			send(slots.release(release.requestId(), release.endpoint(), SlotOutcome.valueOf(release.outcome()),
					targets(pool), this.ticker.nanos()));
		}
		return null;
	}

	@Nullable
	Record renew(VmId from, SlotRenew renew) {
		Owned owned = owned(Pool.parse(renew.pool()));
		if (owned != null) {
			owned.slots().renew(renew.requestId(), renew.endpoint(), this.ticker.nanos());
		}
		return null;
	}

	private @Nullable PoolSlots ready(Pool pool) {
		Owned owned = owned(pool);
		return (owned != null && owned.ready().get()) ? owned.slots() : null;
	}

	private @Nullable Owned owned(Pool pool) {
		long token = this.ownership.tokenOf(pool.partition());
		if (token == 0) {
			this.pools.remove(pool);
			return null;
		}
		return this.pools.compute(pool, (same, current) -> (current != null && current.token() == token) ? current
				: new Owned(token, new PoolSlots(pool.name()), new AtomicBoolean()));
	}

	private List<EndpointTarget> targets(Pool pool) {
		return this.configuration.current()
			.endpoints()
			.stream()
			.filter((target) -> target.active() && target.pool().equals(pool))
			.toList();
	}

	private void send(List<PoolSlots.Answer> answers) {
		for (PoolSlots.Answer answer : answers) {
			if (answer.vm().equals(this.ownership.self())) {
				this.ownReplies.accept(answer.reply());
			}
			else {
				this.messenger.send(answer.vm(), answer.reply());
			}
		}
	}

	/**
	 * Refuses requests that have waited long enough. Call it every 50 ms.
	 */
	public void expire() {
		this.pools.forEach((pool, owned) -> send(owned.slots().dispatch(targets(pool), this.ticker.nanos())));
	}

	/**
	 * Lists the streams of the owned endpoints: rebuilds the slots of a pool that was
	 * taken over, and cancels streams whose VM is no longer registered. Call it every 2
	 * s.
	 */
	public void reconcile() {
		Set<Pool> all = new HashSet<>();
		this.configuration.current().endpoints().forEach((target) -> all.add(target.pool()));
		Set<String> seen = new HashSet<>();
		for (Pool pool : all) {
			Owned owned = owned(pool);
			if (owned != null) {
				if (pool.role() == PoolRole.DECODE) {
					decodeTargets(pool).forEach((target) -> reconcile(target, owned.slots(), seen));
				}
				owned.ready().set(true);
			}
		}
		this.orphans.keySet().retainAll(seen);
	}

	private List<EndpointTarget> decodeTargets(Pool pool) {
		return this.configuration.current()
			.endpoints()
			.stream()
			.filter((target) -> target.pool().equals(pool))
			.toList();
	}

	private void reconcile(EndpointTarget target, PoolSlots slots, Set<String> seen) {
		try {
			for (EngineStream stream : this.engine.streams(target.address())) {
				if (isOrphan(stream)) {
					cancelOrphan(target, stream, seen);
				}
				else {
					slots.renew(stream.requestId(), target.id().name(), this.ticker.nanos());
				}
			}
			if (this.engine.load(target.address()).cold()) {
				slots.cold(target.id().name());
			}
		}
		catch (EndpointException ex) {
			// An endpoint that does not answer is noticed by the requests sent to it.
		}
	}

	private boolean isOrphan(EngineStream stream) {
		String vm = stream.holder().replaceAll("/.*", "");
		return !vm.equals(this.ownership.self().name())
				&& this.vms.holders().stream().noneMatch((holder) -> holder.name().equals(vm));
	}

	private void cancelOrphan(EndpointTarget target, EngineStream stream, Set<String> seen) {
		String key = target.id() + "/" + stream.requestId();
		seen.add(key);
		long now = this.ticker.nanos();
		long since = this.orphans.computeIfAbsent(key, (same) -> now);
		if (now - since >= ORPHAN_NANOS) {
			this.canceller.cancel(target.address(), stream.requestId());
		}
	}

	/**
	 * State of an owned pool.
	 *
	 * @param token fencing token of the ownership
	 * @param slots the slots
	 * @param ready whether the streams of the endpoints were listed
	 * @author banyanstile contributors
	 */
	private record Owned(long token, PoolSlots slots, AtomicBoolean ready) {

	}

}
