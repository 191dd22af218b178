package org.banyanstile.server.scheduling;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

import org.banyanstile.core.catalog.RegisteredEndpoint;
import org.banyanstile.core.common.Ticker;
import org.banyanstile.core.scheduling.GenerationRequest;
import org.banyanstile.core.scheduling.Holding;
import org.banyanstile.server.gossip.GossipMember;
import org.banyanstile.server.gossip.Membership;
import org.banyanstile.server.router.DecisionLog;
import org.jspecify.annotations.Nullable;

/**
 * Asks the schedulers of the fleet for placements of the requests of this VM, and repeats
 * to them what this VM uses. Safe for use by several threads.
 *
 * @author banyanstile contributors
 */
public final class SchedulerClient {

	private static final int TICKS_PER_REPORT = 4;

	private static final int ID_RADIX = 36;

	private final Membership membership;

	private final EngineSource source;

	private final SchedulerLink link;

	private final Ticker ticker;

	private final SchedulerMetrics metrics;

	private final DecisionLog log;

	private final Random random = new Random();

	private final SchedulerReplies replies = new SchedulerReplies();

	private final Map<EngineGroup, GroupSchedulers> groups = new ConcurrentHashMap<>();

	private final Map<String, SchedulerTicket> tickets = new ConcurrentHashMap<>();

	private final AtomicLong counter = new AtomicLong();

	private long ticks;

	SchedulerClient(Membership membership, EngineSource source, SchedulerLink link, Ticker ticker,
			SchedulerMetrics metrics, DecisionLog log) {
		this.membership = membership;
		this.source = source;
		this.link = link;
		this.ticker = ticker;
		this.metrics = metrics;
		this.log = log;
	}

	/**
	 * Opens a request for a placement. The caller has to close it on every way out.
	 * @param demand what the request needs
	 * @return the request, or {@code null} if the service has no engines
	 */
	public @Nullable SchedulerTicket open(PlacementDemand demand) {
		EngineGroup group = EngineGroup.random(demand.service(), this.source.engines(demand.service()), this.random);
		if (group == null) {
			return null;
		}
		SchedulerTicket ticket = new SchedulerTicket(this, nextId(), group, demand, now());
		this.tickets.put(ticket.id(), ticket);
		return ticket;
	}

	/**
	 * Adds a placement that this VM has made without a scheduler. The caller has to close
	 * it.
	 * @param demand what the request needs
	 * @param engine the decode engine
	 * @return the placement
	 */
	public SchedulerTicket hold(PlacementDemand demand, RegisteredEndpoint engine) {
		EngineGroup group = EngineGroup.of(engine, this.source.engines(demand.service()).size());
		SchedulerTicket ticket = SchedulerTicket.placed(this, nextId(), group, demand, engine.id(), now());
		this.tickets.put(ticket.id(), ticket);
		scheduler(group);
		return ticket;
	}

	private String nextId() {
		GossipMember self = this.membership.self();
		return self.vm() + '-' + Long.toString(self.incarnation(), ID_RADIX) + '-'
				+ Long.toString(this.counter.incrementAndGet(), ID_RADIX);
	}

	String vm() {
		return this.membership.self().vm();
	}

	String dataCentre() {
		return this.membership.self().dataCentre();
	}

	long now() {
		return this.ticker.nanos();
	}

	/**
	 * Returns the VM that schedules a group, and tells it what this VM uses if it is
	 * another one than before.
	 * @param group the group
	 * @return the VM
	 */
	GossipMember scheduler(EngineGroup group) {
		long now = now();
		GossipMember scheduler = this.membership.preferred(group.key(), this.replies.avoided(now), now);
		GroupSchedulers schedulers = this.groups.computeIfAbsent(group, (added) -> new GroupSchedulers(now));
		if (schedulers.use(scheduler, now)) {
			this.log.stateChange("scheduler", "group", group.key(), "vm", scheduler.vm());
			List<Holding> holdings = holdings(group);
			if (!holdings.isEmpty()) {
				this.link.send(scheduler, new HoldingsReport(vm(), group, holdings));
			}
		}
		return scheduler;
	}

	void place(GossipMember scheduler, EngineGroup group, GenerationRequest request) {
		GroupSchedulers schedulers = this.groups.get(group);
		if (schedulers != null) {
			schedulers.active(now());
		}
		this.link.send(scheduler, new PlaceRequest(group, schedulers != null && schedulers.isHandover(), request));
	}

	boolean tryProbe(String scheduler, long now) {
		return this.replies.tryProbe(scheduler, now);
	}

	/**
	 * Avoids a scheduler that has not replied, unless it is this VM.
	 * @param scheduler name of the VM
	 * @param since time of the first message without a reply
	 */
	void silent(String scheduler, long since) {
		if (!scheduler.equals(vm()) && this.replies.silent(scheduler, since, now())) {
			this.metrics.schedulerAvoided();
			this.log.stateChange("scheduler avoided", "vm", scheduler, "silentMillis", (now() - since) / 1_000_000);
		}
	}

	void waited(PlacementAnswer answer, long millis) {
		String outcome;
		if (answer instanceof PlacementAnswer.Placed) {
			outcome = "placed";
		}
		else if (answer instanceof PlacementAnswer.Refused) {
			outcome = "refused";
		}
		else {
			outcome = (answer instanceof PlacementAnswer.Unanswered) ? "unanswered" : "cancelled";
		}
		this.metrics.waited(outcome, millis);
	}

	void engineRefused(SchedulerTicket ticket, String engine) {
		this.metrics.refusedByEngine();
		progress(ticket, ProgressEvent.ENGINE_REFUSED, engine, 0, 0);
	}

	void progress(SchedulerTicket ticket, ProgressEvent event, String engine, long tokens, long millis) {
		GroupSchedulers schedulers = this.groups.get(ticket.group());
		if (schedulers == null) {
			return;
		}
		ProgressReport report = new ProgressReport(vm(), ticket.group(), ticket.id(), event.ordinal(), engine, tokens,
				millis);
		schedulers.recent(now()).forEach((scheduler) -> this.link.send(scheduler, report));
	}

	void closed(SchedulerTicket ticket, long streamMillis) {
		this.tickets.remove(ticket.id());
		progress(ticket, ProgressEvent.ENDED, "", 0, streamMillis);
	}

	/**
	 * Receives a reply. A placement of a request that was given up is ended at once.
	 * @param reply the reply
	 */
	void receive(SchedulerReply reply) {
		this.replies.replied(reply.vm(), now());
		SchedulerTicket ticket = this.tickets.get(reply.requestId());
		if ((ticket != null && ticket.receive(reply, now())) || !(reply instanceof PlacedReply)) {
			return;
		}
		this.metrics.unknownPlacement();
		GroupSchedulers schedulers = this.groups.get(reply.group());
		GossipMember scheduler = (schedulers != null) ? schedulers.find(reply.vm()) : null;
		if (scheduler != null) {
			this.link.send(scheduler, new ProgressReport(vm(), reply.group(), reply.requestId(),
					ProgressEvent.ENDED.ordinal(), "", 0, 0));
		}
	}

	void receive(SchedulerStatus status) {
		this.replies.replied(status.vm(), now());
	}

	/**
	 * Looks for other schedulers and repeats holdings. Called four times a second by one
	 * thread.
	 */
	void tick() {
		boolean report = this.ticks++ % TICKS_PER_REPORT == 0;
		this.groups.forEach((group, schedulers) -> {
			List<Holding> holdings = holdings(group);
			if (!holdings.isEmpty()) {
				schedulers.active(now());
			}
			if (!schedulers.isActive(now())) {
				this.groups.remove(group, schedulers);
				return;
			}
			GossipMember scheduler = scheduler(group);
			if (report) {
				report(group, schedulers, scheduler, holdings);
			}
		});
	}

	private void report(EngineGroup group, GroupSchedulers schedulers, GossipMember scheduler, List<Holding> holdings) {
		long now = now();
		long before = schedulers.reported(now);
		if (!holdings.isEmpty() && schedulers.isSilent(this.replies.hasReplied(scheduler.vm(), before))) {
			silent(scheduler.vm(), before);
		}
		HoldingsReport message = new HoldingsReport(vm(), group, holdings);
		schedulers.recent(now).forEach((used) -> this.link.send(used, message));
	}

	private List<Holding> holdings(EngineGroup group) {
		long now = now();
		return this.tickets.values()
			.stream()
			.filter((ticket) -> ticket.group().equals(group))
			.map((ticket) -> ticket.holding(now))
			.filter(Objects::nonNull)
			.toList();
	}

}
