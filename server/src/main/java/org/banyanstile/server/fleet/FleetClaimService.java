package org.banyanstile.server.fleet;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import org.banyanstile.core.claim.ClaimHolder;
import org.banyanstile.core.claim.ClaimIdentity;
import org.banyanstile.core.claim.ClaimOutcome;
import org.banyanstile.core.claim.ClaimResult;
import org.banyanstile.core.claim.HeldClaim;
import org.banyanstile.core.claim.OnceOnlyClaims;
import org.banyanstile.core.common.TeamId;
import org.banyanstile.core.common.VmId;
import org.banyanstile.server.caller.CallOutcome;
import org.banyanstile.server.caller.ClaimDecision;
import org.banyanstile.server.caller.ClaimKey;
import org.banyanstile.server.caller.ClaimService;
import org.banyanstile.server.caller.NotRunReason;
import org.banyanstile.server.caller.StoredAnswer;
import org.banyanstile.server.vm.ClaimQuery;
import org.banyanstile.server.vm.ClaimReply;
import org.banyanstile.server.vm.MessageHandlers;
import org.banyanstile.server.vm.VmRequestException;
import org.jspecify.annotations.Nullable;

/**
 * Claims in the table service on calls that must run at most once. For a repeated request
 * whose call runs at another VM, it asks that VM for the outcome.
 *
 * @author banyanstile contributors
 */
public final class FleetClaimService implements ClaimService {

	private static final Duration QUERY_TIMEOUT = Duration.ofSeconds(1);

	private static final long POLL_INTERVAL_MILLIS = 50;

	/**
	 * Longest wait of a repeated request for the running call.
	 */
	private static final long MAX_WAIT_NANOS = 3_000_000_000L;

	private static final long RETRY_AFTER_MILLIS = 500;

	private static final String RUNNING = "running";

	private final OnceOnlyClaims claims;

	private final Supplier<@Nullable ClaimHolder> self;

	private final BooleanSupplier storeReached;

	private final Messenger messenger;

	private FleetClaimService(OnceOnlyClaims claims, Supplier<@Nullable ClaimHolder> self, BooleanSupplier storeReached,
			Messenger messenger) {
		this.claims = claims;
		this.self = self;
		this.storeReached = storeReached;
		this.messenger = messenger;
	}

	/**
	 * Creates the service and registers its message handler.
	 * @param claims claims of this VM
	 * @param self gives the slot that this VM holds, or {@code null}
	 * @param storeReached whether the store responded recently; without the store, the
	 * outcome of a claim would be unknown until a later read
	 * @param messenger sends messages
	 * @param handlers handlers of incoming messages
	 * @return the service
	 */
	public static FleetClaimService create(OnceOnlyClaims claims, Supplier<@Nullable ClaimHolder> self,
			BooleanSupplier storeReached, Messenger messenger, MessageHandlers handlers) {
		FleetClaimService service = new FleetClaimService(claims, self, storeReached, messenger);
		handlers.register(ClaimQuery.class, service::handleQuery);
		return service;
	}

	@Override
	public ClaimDecision claim(ClaimKey key) {
		long deadline = System.nanoTime() + MAX_WAIT_NANOS;
		ClaimIdentity identity = new ClaimIdentity(key.team(), key.keyHash());
		while (true) {
			ClaimHolder holder = this.self.get();
			if (holder == null || (!this.storeReached.getAsBoolean() && !this.claims.isLocal(identity))) {
				return new ClaimDecision.Unavailable(RETRY_AFTER_MILLIS);
			}
			ClaimResult result = this.claims.claim(identity, key.bodyHash(), holder);
			if (result instanceof ClaimResult.Granted granted) {
				return new ClaimDecision.Run(key, granted.claim());
			}
			if (result instanceof ClaimResult.Unclaimed) {
				return new ClaimDecision.Unavailable(RETRY_AFTER_MILLIS);
			}
			if (result instanceof ClaimResult.KeyReused) {
				return new ClaimDecision.KeyReused();
			}
			if (result instanceof ClaimResult.Settled settled) {
				return new ClaimDecision.Decided(outcome(settled.outcome()));
			}
			ClaimHolder running = ((ClaimResult.Running) result).holder();
			CallOutcome outcome = running.vm().equals(holder.vm()) ? null : queryHolder(running.vm(), key);
			if (outcome != null) {
				return new ClaimDecision.Decided(outcome);
			}
			if (System.nanoTime() - deadline >= 0 || !sleep()) {
				return new ClaimDecision.InProgress(RETRY_AFTER_MILLIS);
			}
		}
	}

	@Override
	public boolean mayHaveRun(ClaimKey key) {
		return this.claims.mayHaveRun(new ClaimIdentity(key.team(), key.keyHash()));
	}

	private static boolean sleep() {
		try {
			Thread.sleep(POLL_INTERVAL_MILLIS);
			return true;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
	}

	private @Nullable CallOutcome queryHolder(VmId vm, ClaimKey key) {
		try {
			ClaimReply reply = this.messenger.request(vm, new ClaimQuery(key.team().name(), key.keyHash()),
					ClaimReply.class, QUERY_TIMEOUT);
			String body = (reply.body() != null) ? reply.body() : "";
			StoredAnswer response = new StoredAnswer(reply.status(), reply.contentType(), body);
			return switch (reply.state()) {
				case "answered" -> new CallOutcome.Answered(response);
				case "refused" -> new CallOutcome.RefusedByEndpoint(response);
				case "not_run" -> new CallOutcome.NotRun(NotRunReason.OVERLOADED);
				case RUNNING -> null;
				default -> new CallOutcome.OutcomeUnknown();
			};
		}
		catch (VmRequestException ex) {
			return null;
		}
	}

	private Record handleQuery(VmId from, ClaimQuery query) {
		ClaimHolder holder = this.self.get();
		ClaimOutcome outcome = (holder != null)
				? this.claims.query(new ClaimIdentity(TeamId.of(query.team()), query.keyHash()), holder) : null;
		if (outcome instanceof ClaimOutcome.Answered answered) {
			return new ClaimReply("answered", answered.status(), answered.contentType(), answered.body());
		}
		if (outcome instanceof ClaimOutcome.RefusedByEndpoint refused) {
			return new ClaimReply("refused", refused.status(), refused.contentType(), refused.body());
		}
		if (outcome == null) {
			return new ClaimReply(RUNNING, 0, null, null);
		}
		return new ClaimReply((outcome instanceof ClaimOutcome.NotRun) ? "not_run" : "unknown", 0, null, null);
	}

	@Override
	public void complete(ClaimDecision.Run run, CallOutcome outcome) {
		this.claims.complete((HeldClaim) run.handle(), outcome(outcome));
	}

	/**
	 * Stores outcomes that could not be stored before. Must be called every second.
	 */
	public void writeRetained() {
		this.claims.writeRetained();
	}

	private static CallOutcome outcome(ClaimOutcome outcome) {
		if (outcome instanceof ClaimOutcome.Answered answered) {
			return new CallOutcome.Answered(
					new StoredAnswer(answered.status(), answered.contentType(), answered.body()));
		}
		if (outcome instanceof ClaimOutcome.RefusedByEndpoint refused) {
			return new CallOutcome.RefusedByEndpoint(
					new StoredAnswer(refused.status(), refused.contentType(), refused.body()));
		}
		return (outcome instanceof ClaimOutcome.NotRun) ? new CallOutcome.NotRun(NotRunReason.OVERLOADED)
				: new CallOutcome.OutcomeUnknown();
	}

	private static ClaimOutcome outcome(CallOutcome outcome) {
		if (outcome instanceof CallOutcome.Answered answered) {
			StoredAnswer response = answered.answer();
			return new ClaimOutcome.Answered(response.status(), response.contentType(), response.body());
		}
		if (outcome instanceof CallOutcome.RefusedByEndpoint refused) {
			StoredAnswer response = refused.answer();
			return new ClaimOutcome.RefusedByEndpoint(response.status(), response.contentType(), response.body());
		}
		return (outcome instanceof CallOutcome.NotRun) ? new ClaimOutcome.NotRun() : new ClaimOutcome.OutcomeUnknown();
	}

}
