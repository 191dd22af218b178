package org.banyanstile.server.scheduling;

import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.banyanstile.core.catalog.RegisteredEndpoint;
import org.banyanstile.core.scheduling.EnginePlacement;
import org.banyanstile.core.scheduling.GenerationScheduler;
import org.banyanstile.core.scheduling.SchedulingDecision;
import org.banyanstile.core.scheduling.SchedulingRefusal;
import org.jspecify.annotations.Nullable;

/**
 * Group of engines that this VM schedules. Safe for use by several threads; replies are
 * returned rather than sent, so that nothing is sent while the lock is held.
 *
 * @author banyanstile contributors
 */
final class HostedGroup {

	/**
	 * Time for which a scheduler that takes over from another one waits for the holdings
	 * of the other VMs.
	 */
	private static final long HANDOVER_NANOS = 150_000_000L;

	private static final long ENGINES_NANOS = 100_000_000L;

	private static final int MAX_FASTEST = 8;

	private final String vm;

	private final EngineGroup group;

	private final EngineSource source;

	private final GenerationScheduler scheduler;

	private final Map<String, SocketAddress> senders = new HashMap<>();

	private final long createdAt;

	private boolean takenOver;

	private long enginesAt;

	private long usedAt;

	HostedGroup(String vm, EngineGroup group, EngineSource source, GenerationScheduler scheduler, long now) {
		this.vm = vm;
		this.group = group;
		this.source = source;
		this.scheduler = scheduler;
		this.createdAt = now;
		this.enginesAt = now - ENGINES_NANOS - 1;
		this.usedAt = now;
	}

	synchronized List<Outgoing> place(PlaceRequest message, @Nullable SocketAddress sender, long now) {
		String id = message.request().id();
		remember(message.request().vm(), sender, now);
		this.takenOver |= message.handover();
		refreshEngines(now);
		this.scheduler.add(message.request(), now);
		List<Outgoing> outgoing = decideNow(now);
		if (outgoing.stream().noneMatch((reply) -> reply.message().requestId().equals(id))) {
			long waitMillis = this.scheduler.expectedWaitMillis(id, now);
			outgoing.add(outgoing(message.request().vm(), new QueuedReply(this.vm, this.group, id, waitMillis)));
		}
		return outgoing;
	}

	synchronized List<Outgoing> progress(ProgressReport message, ProgressEvent event, long now) {
		switch (event) {
			case PREFILLED -> this.scheduler.prefilled(message.requestId(), message.engine(), message.tokens(),
					message.millis(), now);
			case ENGINE_REFUSED -> this.scheduler.refusedByEngine(message.requestId(), message.engine(), now);
			case ENDED -> this.scheduler.ended(message.requestId(), message.millis(), now);
		}
		return decide(now);
	}

	synchronized SchedulerStatus holdings(HoldingsReport message, @Nullable SocketAddress sender, long now) {
		if (!message.holdings().isEmpty()) {
			remember(message.vm(), sender, now);
		}
		this.scheduler.setHoldings(message.vm(), message.holdings(), now);
		return new SchedulerStatus(this.vm, this.group,
				this.scheduler.enginesBySpeed().stream().limit(MAX_FASTEST).toList());
	}

	synchronized List<Outgoing> decide(long now) {
		refreshEngines(now);
		return decideNow(now);
	}

	private List<Outgoing> decideNow(long now) {
		List<Outgoing> outgoing = new ArrayList<>();
		if (this.takenOver && now - this.createdAt < HANDOVER_NANOS) {
			return outgoing;
		}
		for (SchedulingDecision decision : this.scheduler.decide(now)) {
			outgoing.add(outgoing(decision.vm(), reply(decision)));
		}
		return outgoing;
	}

	private SchedulerReply reply(SchedulingDecision decision) {
		if (decision instanceof EnginePlacement placement) {
			return new PlacedReply(this.vm, this.group, placement.requestId(), placement.engine(),
					placement.prefillEngine());
		}
		SchedulingRefusal refusal = (SchedulingRefusal) decision;
		return new RefusedReply(this.vm, this.group, refusal.requestId(), refusal.retryAfterMillis());
	}

	private Outgoing outgoing(String receiver, SchedulerReply reply) {
		return new Outgoing(this.senders.get(receiver), reply);
	}

	private void remember(String sendingVm, @Nullable SocketAddress sender, long now) {
		this.usedAt = now;
		if (sender != null) {
			this.senders.put(sendingVm, sender);
		}
	}

	private void refreshEngines(long now) {
		if (now - this.enginesAt < ENGINES_NANOS) {
			return;
		}
		this.enginesAt = now;
		List<RegisteredEndpoint> engines = this.source.engines(this.group.service())
			.stream()
			.filter(this.group::contains)
			.toList();
		this.scheduler.setEngines(engines, this.source.memoryTokens(this.group.service()), now);
	}

	synchronized int waiting() {
		return this.scheduler.waiting();
	}

	synchronized boolean isIdle(long idleNanos, long now) {
		return now - this.usedAt > idleNanos;
	}

	/**
	 * Reply that has to be sent.
	 *
	 * @param receiver address of the receiver, {@code null} for this VM
	 * @param message the reply
	 * @author banyanstile contributors
	 */
	record Outgoing(@Nullable SocketAddress receiver, SchedulerReply message) {

	}

}
