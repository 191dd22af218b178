package org.banyanstile.server.scheduling;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;

import org.banyanstile.core.scheduling.GenerationRequest;
import org.banyanstile.core.scheduling.Holding;
import org.banyanstile.server.gossip.GossipMember;
import org.jspecify.annotations.Nullable;

/**
 * Request of this VM for a placement, and the placement itself until it is closed. Safe
 * for use by several threads; no message is sent while its lock is held.
 *
 * @author banyanstile contributors
 */
public final class SchedulerTicket {

	private static final long RESEND_NANOS = 60_000_000L;

	/**
	 * Time after which an acknowledged request is renewed.
	 */
	private static final long RENEW_NANOS = 250_000_000L;

	/**
	 * Number of messages without a reply after which another scheduler is asked.
	 */
	private static final int MAX_UNANSWERED = 2;

	/**
	 * Time without any reply after which the VM places the request itself.
	 */
	private static final long FALLBACK_NANOS = 200_000_000L;

	/**
	 * Time after which a waiting thread looks whether its caller has left.
	 */
	private static final long MAX_WAIT_NANOS = 100_000_000L;

	/**
	 * Time for which an engine that refused the reservation is not accepted again.
	 */
	private static final long EXCLUDED_NANOS = 500_000_000L;

	private static final long NOT_WAITING_FOR_REPLY = Long.MIN_VALUE;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final SchedulerClient client;

	private final String id;

	private final EngineGroup group;

	private final PlacementDemand demand;

	private final long openedAt;

	private final Map<String, Long> excludedUntil = new HashMap<>();

	private @Nullable PlacementAnswer answer;

	private @Nullable String asked;

	private int unanswered;

	private long askedAt;

	private long unansweredSince = NOT_WAITING_FOR_REPLY;

	private long nextSendAt;

	private long placedAt;

	private boolean prefilled;

	private boolean closed;

	SchedulerTicket(SchedulerClient client, String id, EngineGroup group, PlacementDemand demand, long now) {
		this.client = client;
		this.id = id;
		this.group = group;
		this.demand = demand;
		this.openedAt = now;
		this.nextSendAt = now;
		demand.excludedEngines().forEach((engine) -> this.excludedUntil.put(engine, now + EXCLUDED_NANOS));
	}

	// A placement that the VM has made itself.
	static SchedulerTicket placed(SchedulerClient client, String id, EngineGroup group, PlacementDemand demand,
			String engine, long now) {
		SchedulerTicket ticket = new SchedulerTicket(client, id, group, demand, now);
		ticket.answer = new PlacementAnswer.Placed(engine, null);
		ticket.placedAt = now;
		return ticket;
	}

	String id() {
		return this.id;
	}

	EngineGroup group() {
		return this.group;
	}

	/**
	 * Waits for the answer of a scheduler.
	 * @param cancelled whether the request has ended; looked at several times a second
	 * @return the answer
	 * @throws InterruptedException if the thread is interrupted
	 */
	public PlacementAnswer await(BooleanSupplier cancelled) throws InterruptedException {
		long startedAt = this.client.now();
		PlacementAnswer result = awaitAnswer(cancelled);
		this.client.waited(result, (this.client.now() - startedAt) / NANOS_PER_MILLI);
		return result;
	}

	private PlacementAnswer awaitAnswer(BooleanSupplier cancelled) throws InterruptedException {
		while (!cancelled.getAsBoolean()) {
			synchronized (this) {
				if (this.answer != null) {
					return this.answer;
				}
				long now = this.client.now();
				long fallbackAt = (this.unansweredSince != NOT_WAITING_FOR_REPLY)
						? this.unansweredSince + FALLBACK_NANOS : Long.MAX_VALUE;
				if (now >= fallbackAt) {
					return new PlacementAnswer.Unanswered();
				}
				long wait = Math.min(this.nextSendAt, fallbackAt) - now;
				if (wait > 0 && !mayProbe(now)) {
					TimeUnit.NANOSECONDS.timedWait(this, Math.min(wait, MAX_WAIT_NANOS));
					continue;
				}
			}
			ask();
		}
		return new PlacementAnswer.Cancelled();
	}

	// One of the waiting requests of the VM finds out whether the scheduler still
	// replies.
	private boolean mayProbe(long now) {
		String scheduler = this.asked;
		return this.unansweredSince == NOT_WAITING_FOR_REPLY && scheduler != null
				&& this.client.tryProbe(scheduler, now);
	}

	private void ask() {
		String silent;
		long silentSince;
		synchronized (this) {
			silent = (this.unanswered >= MAX_UNANSWERED) ? this.asked : null;
			silentSince = this.askedAt;
		}
		if (silent != null) {
			this.client.silent(silent, silentSince);
		}
		GossipMember scheduler = this.client.scheduler(this.group);
		GenerationRequest request;
		synchronized (this) {
			long now = this.client.now();
			if (!scheduler.vm().equals(this.asked)) {
				this.asked = scheduler.vm();
				this.unanswered = 0;
			}
			if (this.unanswered == 0) {
				this.askedAt = now;
			}
			if (this.unansweredSince == NOT_WAITING_FOR_REPLY) {
				this.unansweredSince = now;
			}
			this.unanswered++;
			this.nextSendAt = now + RESEND_NANOS;
			request = request(now);
		}
		this.client.place(scheduler, this.group, request);
	}

	private GenerationRequest request(long now) {
		this.excludedUntil.values().removeIf((until) -> now >= until);
		long ageMillis = (now - this.openedAt) / NANOS_PER_MILLI;
		return new GenerationRequest(this.id, this.client.vm(), this.client.dataCentre(), this.demand.priority(),
				this.demand.promptTokens(), this.demand.tokens(), this.demand.onTimeMillis() - ageMillis,
				this.demand.deadlineMillis() - ageMillis, this.demand.maxPauseMillis(),
				this.excludedUntil.keySet().stream().collect(Collectors.toSet()));
	}

	/**
	 * Receives a reply.
	 * @param reply the reply
	 * @param now the current time in nanoseconds
	 * @return whether the request is known to need the engine of the reply, or the reply
	 * names none
	 */
	synchronized boolean receive(SchedulerReply reply, long now) {
		if (this.closed) {
			return false;
		}
		boolean fromAsked = reply.vm().equals(this.asked);
		if (this.answer != null) {
			return !(reply instanceof PlacedReply placed && isElsewhere(placed));
		}
		if (fromAsked) {
			this.unanswered = 0;
			this.unansweredSince = NOT_WAITING_FOR_REPLY;
			this.nextSendAt = now + RENEW_NANOS;
		}
		if (reply instanceof PlacedReply placed && !this.excludedUntil.containsKey(placed.engine())) {
			this.answer = new PlacementAnswer.Placed(placed.engine(), placed.prefillEngine());
			this.placedAt = now;
		}
		else if (fromAsked && reply instanceof RefusedReply refused) {
			this.answer = new PlacementAnswer.Refused(refused.retryAfterMillis());
		}
		notifyAll();
		return true;
	}

	private boolean isElsewhere(PlacedReply reply) {
		return !(this.answer instanceof PlacementAnswer.Placed placed) || !placed.engine().equals(reply.engine());
	}

	/**
	 * Returns the engine that should prefill the prompt.
	 * @return its id, or {@code null} if the decode engine should do so
	 */
	public synchronized @Nullable String prefillEngine() {
		return (this.answer instanceof PlacementAnswer.Placed placed) ? placed.prefillEngine() : null;
	}

	/**
	 * Reports that the engine of the placement refused the reservation. The request may
	 * wait for another engine afterwards.
	 * @param engine id of the engine
	 */
	public void engineRefused(String engine) {
		synchronized (this) {
			long now = this.client.now();
			this.excludedUntil.put(engine, now + EXCLUDED_NANOS);
			this.answer = null;
			this.unanswered = 0;
			this.unansweredSince = NOT_WAITING_FOR_REPLY;
			this.nextSendAt = now;
		}
		this.client.engineRefused(this, engine);
	}

	/**
	 * Reports that an engine has prefilled the prompt.
	 * @param engine id of the engine
	 * @param millis time from the request to the response of the engine
	 */
	public void prefilled(String engine, long millis) {
		synchronized (this) {
			this.prefilled = true;
		}
		this.client.progress(this, ProgressEvent.PREFILLED, engine, this.demand.promptTokens(), millis);
	}

	/**
	 * Ends the request or its placement. Later calls have no effect.
	 * @param streamMillis time from the first event to the end, 0 if there was none
	 */
	public void close(long streamMillis) {
		synchronized (this) {
			if (this.closed) {
				return;
			}
			this.closed = true;
		}
		this.client.closed(this, streamMillis);
	}

	synchronized @Nullable Holding holding(long now) {
		if (this.closed || !(this.answer instanceof PlacementAnswer.Placed placed)) {
			return null;
		}
		return new Holding(this.id, placed.engine(), this.prefilled ? null : placed.prefillEngine(),
				this.demand.promptTokens(), this.demand.tokens(), (now - this.placedAt) / NANOS_PER_MILLI);
	}

}
