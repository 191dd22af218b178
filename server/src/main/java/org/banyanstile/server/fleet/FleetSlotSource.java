package org.banyanstile.server.fleet;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import org.banyanstile.core.common.EndpointId;
import org.banyanstile.core.common.VmId;
import org.banyanstile.server.caller.ConfigurationView;
import org.banyanstile.server.caller.EndpointTarget;
import org.banyanstile.server.caller.Pool;
import org.banyanstile.server.caller.SlotDecision;
import org.banyanstile.server.caller.SlotDemand;
import org.banyanstile.server.caller.SlotOutcome;
import org.banyanstile.server.caller.SlotSource;
import org.banyanstile.server.vm.MessageHandlers;
import org.banyanstile.server.vm.SlotRelease;
import org.banyanstile.server.vm.SlotRenew;
import org.banyanstile.server.vm.SlotReply;
import org.banyanstile.server.vm.SlotRequest;
import org.jspecify.annotations.Nullable;

/**
 * Endpoint slots granted by the owners of pools. If the owner of a pool is unknown,
 * unreachable or not ready, this VM uses its own share of each endpoint's capacity.
 *
 * @author banyanstile contributors
 */
public final class FleetSlotSource implements SlotSource {

	/**
	 * Time added to the deadline of the request when waiting for the reply.
	 */
	private static final long REPLY_MARGIN_MILLIS = 200;

	private static final long RETRY_AFTER_MILLIS = 250;

	private final Ownership ownership;

	private final Messenger messenger;

	private final ConfigurationView configuration;

	private final PoolOwner ownPools;

	private final SlotSource fallback;

	private final Map<String, CompletableFuture<SlotReply>> pendingReplies = new ConcurrentHashMap<>();

	private final Set<String> locallyGranted = ConcurrentHashMap.newKeySet();

	private FleetSlotSource(Ownership ownership, Messenger messenger, ConfigurationView configuration,
			PoolOwner ownPools, SlotSource fallback) {
		this.ownership = ownership;
		this.messenger = messenger;
		this.configuration = configuration;
		this.ownPools = ownPools;
		this.fallback = fallback;
	}

	/**
	 * Creates the source and registers its message handler.
	 * @param ownership owners of partitions
	 * @param messenger sends messages
	 * @param configuration the configuration
	 * @param ownPools pools that this VM owns
	 * @param fallback used if the owner is unknown, unreachable or not ready
	 * @param handlers handlers of incoming messages
	 * @return the source
	 */
	public static FleetSlotSource create(Ownership ownership, Messenger messenger, ConfigurationView configuration,
			PoolOwner ownPools, SlotSource fallback, MessageHandlers handlers) {
		FleetSlotSource source = new FleetSlotSource(ownership, messenger, configuration, ownPools, fallback);
		handlers.registerInline(SlotReply.class, (from, reply) -> {
			source.handleReply(from, reply);
			return null;
		});
		ownPools.setLocalReplyReceiver((reply) -> source.handleReply(ownership.self(), reply));
		return source;
	}

	private void handleReply(VmId from, SlotReply reply) {
		CompletableFuture<SlotReply> future = this.pendingReplies.remove(key(reply.pool(), reply.requestId()));
		String endpoint = reply.endpoint();
		if (future != null) {
			future.complete(reply);
		}
		else if (endpoint != null) {
			send(from, new SlotRelease(reply.pool(), reply.requestId(), endpoint, SlotOutcome.CANCELLED.name()));
		}
	}

	private static String key(String pool, String requestId) {
		return pool + " " + requestId;
	}

	@Override
	public SlotDecision acquire(SlotDemand demand) {
		if (this.ownPools.isRefused(demand.team(), demand.fingerprint())) {
			return new SlotDecision.Crashing();
		}
		VmId owner = this.ownership.ownerOf(demand.pool().partition());
		SlotReply reply = (owner != null) ? requestSlot(owner, demand) : null;
		if (reply == null || SlotReply.NOT_READY.equals(reply.refusal())) {
			return acquireLocally(demand);
		}
		if (SlotReply.CRASHES.equals(reply.refusal())) {
			return new SlotDecision.Crashing();
		}
		EndpointTarget target = target(demand.pool(), reply.endpoint());
		if (target == null) {
			return new SlotDecision.Overloaded(Math.max(RETRY_AFTER_MILLIS, reply.retryAfterMillis()));
		}
		return new SlotDecision.Granted(demand.pool(), demand.requestId(), target);
	}

	private SlotDecision acquireLocally(SlotDemand demand) {
		SlotDecision decision = this.fallback.acquire(demand);
		if (decision instanceof SlotDecision.Granted) {
			this.locallyGranted.add(key(demand.pool().name(), demand.requestId()));
		}
		return decision;
	}

	private @Nullable SlotReply requestSlot(VmId owner, SlotDemand demand) {
		String pool = demand.pool().name();
		String key = key(pool, demand.requestId());
		CompletableFuture<SlotReply> future = new CompletableFuture<>();
		this.pendingReplies.put(key, future);
		SlotRequest request = new SlotRequest(pool, demand.team().name(), demand.cost(), demand.requestId(),
				demand.fingerprint(), demand.deadlineMillis(),
				demand.excluded().stream().map(EndpointId::name).toList());
		if (!send(owner, request)) {
			this.pendingReplies.remove(key);
			return null;
		}
		try {
			return future.get(demand.deadlineMillis() + REPLY_MARGIN_MILLIS, TimeUnit.MILLISECONDS);
		}
		catch (TimeoutException | ExecutionException ex) {
			this.pendingReplies.remove(key);
			send(owner, new SlotRelease(pool, demand.requestId(), "", SlotOutcome.CANCELLED.name()));
			return null;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return new SlotReply(pool, demand.requestId(), null, SlotReply.OVERLOADED, RETRY_AFTER_MILLIS);
		}
	}

	private boolean send(VmId owner, Record message) {
		if (!owner.equals(this.ownership.self())) {
			return this.messenger.send(owner, message);
		}
		if (message instanceof SlotRequest request) {
			this.ownPools.request(owner, request);
		}
		else if (message instanceof SlotRelease release) {
			this.ownPools.release(owner, release);
		}
		else if (message instanceof SlotRenew renew) {
			this.ownPools.renew(owner, renew);
		}
		return true;
	}

	private @Nullable EndpointTarget target(Pool pool, @Nullable String endpoint) {
		return this.configuration.current()
			.endpoints()
			.stream()
			.filter((target) -> target.pool().equals(pool) && target.id().name().equals(endpoint))
			.findFirst()
			.orElse(null);
	}

	@Override
	public void renew(SlotDecision.Granted slot) {
		VmId owner = this.ownership.ownerOf(slot.pool().partition());
		if (owner != null) {
			send(owner, new SlotRenew(slot.pool().name(), slot.requestId(), slot.endpoint().id().name()));
		}
	}

	@Override
	public void release(SlotDecision.Granted slot, SlotOutcome outcome) {
		if (this.locallyGranted.remove(key(slot.pool().name(), slot.requestId()))) {
			this.fallback.release(slot, outcome);
		}
		VmId owner = this.ownership.ownerOf(slot.pool().partition());
		if (owner != null) {
			send(owner,
					new SlotRelease(slot.pool().name(), slot.requestId(), slot.endpoint().id().name(), outcome.name()));
		}
	}

}
