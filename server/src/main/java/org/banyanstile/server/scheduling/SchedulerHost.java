package org.banyanstile.server.scheduling;

import java.net.SocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongFunction;

import org.banyanstile.core.common.Ticker;
import org.banyanstile.core.scheduling.GenerationScheduler;
import org.banyanstile.server.router.DecisionLog;
import org.jspecify.annotations.Nullable;

/**
 * Schedules the groups of engines for which this VM is asked. Safe for use by several
 * threads.
 *
 * @author banyanstile contributors
 */
final class SchedulerHost {

	private static final long IDLE_NANOS = 30_000_000_000L;

	private final String vm;

	private final EngineSource source;

	private final LongFunction<GenerationScheduler> factory;

	private final Ticker ticker;

	private final SchedulerMetrics metrics;

	private final DecisionLog log;

	private final Map<EngineGroup, HostedGroup> groups = new ConcurrentHashMap<>();

	SchedulerHost(String vm, EngineSource source, LongFunction<GenerationScheduler> factory, Ticker ticker,
			SchedulerMetrics metrics, DecisionLog log) {
		this.vm = vm;
		this.source = source;
		this.factory = factory;
		this.ticker = ticker;
		this.metrics = metrics;
		this.log = log;
		metrics.bindHost(this);
	}

	/**
	 * Adds a request.
	 * @param message the message
	 * @param sender address of its sender, {@code null} for this VM
	 * @return replies to send
	 */
	List<HostedGroup.Outgoing> place(PlaceRequest message, @Nullable SocketAddress sender) {
		HostedGroup group = groupFor(message.group());
		return (group != null) ? counted(group.place(message, sender, this.ticker.nanos())) : List.of();
	}

	/**
	 * Records the progress of a request.
	 * @param message the message
	 * @return replies to send
	 */
	List<HostedGroup.Outgoing> progress(ProgressReport message) {
		HostedGroup group = this.groups.get(message.group());
		if (message.event() < 0 || message.event() >= ProgressEvent.values().length) {
			this.metrics.malformed();
			return List.of();
		}
		if (group == null) {
			return List.of();
		}
		return counted(group.progress(message, ProgressEvent.values()[message.event()], this.ticker.nanos()));
	}

	/**
	 * Replaces the placements of a VM.
	 * @param message the message
	 * @param sender address of its sender, {@code null} for this VM
	 * @return reply to the sender, or {@code null} if this VM does not schedule the group
	 */
	@Nullable
	SchedulerStatus holdings(HoldingsReport message, @Nullable SocketAddress sender) {
		HostedGroup group = message.holdings().isEmpty() ? this.groups.get(message.group()) : groupFor(message.group());
		return (group != null) ? group.holdings(message, sender, this.ticker.nanos()) : null;
	}

	/**
	 * Decides on waiting requests and drops groups that are no longer used.
	 * @return replies to send
	 */
	List<HostedGroup.Outgoing> decide() {
		long now = this.ticker.nanos();
		this.groups.entrySet().removeIf((entry) -> {
			boolean idle = entry.getValue().isIdle(IDLE_NANOS, now);
			if (idle) {
				this.log.stateChange("scheduling ended", "group", entry.getKey().key());
			}
			return idle;
		});
		return this.groups.values()
			.stream()
			.filter((group) -> group.waiting() > 0)
			.flatMap((group) -> counted(group.decide(now)).stream())
			.toList();
	}

	int waiting() {
		return this.groups.values().stream().mapToInt(HostedGroup::waiting).sum();
	}

	int groups() {
		return this.groups.size();
	}

	private List<HostedGroup.Outgoing> counted(List<HostedGroup.Outgoing> outgoing) {
		for (HostedGroup.Outgoing reply : outgoing) {
			if (!(reply.message() instanceof QueuedReply)) {
				this.metrics.decision((reply.message() instanceof PlacedReply) ? "placed" : "refused");
			}
		}
		return outgoing;
	}

	private @Nullable HostedGroup groupFor(EngineGroup group) {
		HostedGroup known = this.groups.get(group);
		if (known != null) {
			return known;
		}
		if (this.source.memoryTokens(group.service()) <= 0) {
			// A group of a service that this VM does not know, or not yet.
			this.metrics.malformed();
			return null;
		}
		return this.groups.computeIfAbsent(group, (added) -> {
			long now = this.ticker.nanos();
			this.log.stateChange("scheduling begun", "group", added.key());
			return new HostedGroup(this.vm, added, this.source, this.factory.apply(now), now);
		});
	}

}
