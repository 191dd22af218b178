package org.banyanstile.server.fleet;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

import org.banyanstile.core.common.EndpointId;
import org.banyanstile.core.common.TeamId;
import org.banyanstile.core.common.Ticker;
import org.banyanstile.core.common.VmId;
import org.banyanstile.core.routing.CrashAttribution;
import org.banyanstile.core.routing.CrashAttribution.Fingerprint;
import org.banyanstile.server.caller.ConfigurationView;
import org.banyanstile.server.caller.Pool;
import org.banyanstile.server.caller.SlotOutcome;
import org.banyanstile.server.vm.CrashVerdict;
import org.banyanstile.server.vm.MessageHandlers;
import org.banyanstile.server.vm.SlotRelease;
import org.banyanstile.server.vm.SlotRenew;
import org.banyanstile.server.vm.SlotReply;
import org.banyanstile.server.vm.SlotRequest;
import org.jspecify.annotations.Nullable;

/**
 * Grants the slots of the pools that this VM owns, and attributes crashes.
 *
 * @author banyanstile contributors
 */
public final class PoolOwner {

	private final Ownership ownership;

	private final Messenger messenger;

	private final ConfigurationView configuration;

	private final Ticker ticker;

	private final CrashAttribution attribution;

	private final Map<Pool, OwnedPool> pools = new ConcurrentHashMap<>();

	private volatile Consumer<SlotReply> localReplyReceiver = (reply) -> {
	};

	private PoolOwner(Ownership ownership, Messenger messenger, ConfigurationView configuration, Ticker ticker) {
		this.ownership = ownership;
		this.messenger = messenger;
		this.configuration = configuration;
		this.ticker = ticker;
		this.attribution = new CrashAttribution();
	}

	/**
	 * Creates the owner of pools and registers its message handlers.
	 * @param ownership owners of partitions
	 * @param messenger sends messages
	 * @param configuration the configuration
	 * @param ticker time source
	 * @param handlers handlers of incoming messages
	 * @return the owner of pools
	 */
	public static PoolOwner create(Ownership ownership, Messenger messenger, ConfigurationView configuration,
			Ticker ticker, MessageHandlers handlers) {
		PoolOwner owner = new PoolOwner(ownership, messenger, configuration, ticker);
		handlers.registerInline(SlotRequest.class, owner::request);
		handlers.registerInline(SlotRelease.class, owner::release);
		handlers.registerInline(SlotRenew.class, owner::renew);
		handlers.registerInline(CrashVerdict.class, owner::handleCrashVerdict);
		return owner;
	}

	/**
	 * Sets the receiver of the replies to requests of this VM itself.
	 * @param receiver the receiver
	 */
	void setLocalReplyReceiver(Consumer<SlotReply> receiver) {
		this.localReplyReceiver = receiver;
	}

	@Nullable
	Record request(VmId from, SlotRequest request) {
		OwnedPool pool = owned(Pool.parse(request.pool()));
		if (pool == null || !pool.isReady()) {
			send(List.of(new OwnedPool.PendingReply(from,
					new SlotReply(request.pool(), request.requestId(), null, SlotReply.NOT_READY, 0))));
			return null;
		}
		send(pool.request(from, request, this.configuration.current().weightOf(request.team()), this.ticker.nanos()));
		return null;
	}

	@Nullable
	Record release(VmId from, SlotRelease release) {
		OwnedPool pool = owned(Pool.parse(release.pool()));
		if (pool == null) {
			return null;
		}
		long now = this.ticker.nanos();
		SlotOutcome outcome = SlotOutcome.valueOf(release.outcome());
		pool.ended(release.requestId(), release.endpoint(), outcome, now)
			.ifPresent((fingerprint) -> this.messenger.sendToAll(new CrashVerdict(
					fingerprint.team() + "/" + fingerprint.bodyHash(), CrashAttribution.VERDICT_NANOS / 1_000_000)));
		send(pool.release(release.requestId(), outcome, now));
		return null;
	}

	@Nullable
	Record renew(VmId from, SlotRenew renew) {
		OwnedPool pool = owned(Pool.parse(renew.pool()));
		if (pool != null) {
			long now = this.ticker.nanos();
			pool.broker().announce(renew.requestId(), from, EndpointId.of(renew.endpoint()), now);
			pool.broker().renew(from, List.of(renew.requestId()), now);
		}
		return null;
	}

	private @Nullable Record handleCrashVerdict(VmId from, CrashVerdict verdict) {
		String[] parts = verdict.fingerprint().split("/", 2);
		if (parts.length == 2) {
			this.attribution.verdictReceived(new Fingerprint(TeamId.of(parts[0]), parts[1]),
					this.ticker.nanos() + verdict.expiresMillis() * 1_000_000);
		}
		return null;
	}

	/**
	 * Returns whether a request is known to crash endpoints.
	 * @param team the team
	 * @param fingerprint hash of team and body
	 * @return whether it is refused
	 */
	boolean isRefused(TeamId team, String fingerprint) {
		return this.attribution.isRefused(new Fingerprint(team, fingerprint), this.ticker.nanos());
	}

	/**
	 * Returns a pool if this VM owns it now.
	 * @param pool the pool
	 * @return its state, or {@code null}
	 */
	@Nullable
	OwnedPool owned(Pool pool) {
		long token = this.ownership.tokenOf(pool.partition());
		if (token == 0) {
			this.pools.remove(pool);
			return null;
		}
		return this.pools.compute(pool, (same, current) -> (current != null && current.token() == token) ? current
				: new OwnedPool(pool.name(), token, this.attribution));
	}

	void send(List<OwnedPool.PendingReply> replies) {
		for (OwnedPool.PendingReply pending : replies) {
			if (pending.vm().equals(this.ownership.self())) {
				this.localReplyReceiver.accept(pending.reply());
			}
			else {
				this.messenger.send(pending.vm(), pending.reply());
			}
		}
	}

	/**
	 * Refuses queued requests that are past their deadline. Must be called every 20 ms.
	 */
	public void expire() {
		this.pools.values().forEach((pool) -> send(pool.replies(pool.broker().tick(this.ticker.nanos()))));
	}

}
