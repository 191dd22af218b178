package org.banyanstile.core.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.banyanstile.core.catalog.RegisteredEndpoint;
import org.jspecify.annotations.Nullable;

/**
 * Scheduler that delays or refuses what costs callers least, by rank, deadline and size.
 * For loads above the memory of the engines. See {@code docs/design/least-cost.md}.
 * <p>
 * The id of a request must not be used again for two seconds after its end.
 *
 * @author banyanstile contributors
 */
public final class LeastCostScheduler implements GenerationScheduler {

	/**
	 * Time after the start in which VMs report their holdings.
	 */
	static final long START_NANOS = 300_000_000;

	/**
	 * Time after which the requests of a VM are dropped that sends no messages.
	 */
	static final long SILENT_NANOS = 3_000_000_000L;

	/**
	 * Length of a queue above which it is not decided on after each change, and the time
	 * between two decisions then. Limits the load of a long queue on the VM.
	 */
	static final int LONG_QUEUE = 16;

	static final long LONG_QUEUE_NANOS = 4_000_000;

	/**
	 * Excess of the expected wait over the time left that is tolerated for large requests
	 * that go first. Their room comes from several streams, whose ends vary.
	 */
	static final double GATHERING_MILLIS = 300;

	private final PrefillQueues prefills = new PrefillQueues();

	private final StreamTimes times = new StreamTimes();

	private final PlacementLedger ledger = new PlacementLedger(this.prefills, this.times);

	private final RankShares shares = new RankShares();

	private final ArrivalRates arrivals = new ArrivalRates();

	private final QueueOrder order = new QueueOrder(this.shares);

	private final Refusals refusals = new Refusals();

	private final Map<String, WaitingRequest> waiting = new LinkedHashMap<>();

	private final Map<String, Long> vmSeenAt = new HashMap<>();

	private final List<SchedulingDecision> repeated = new ArrayList<>();

	private final long startedAt;

	private long decidedAt;

	private List<String> engineIds = List.of();

	private long nextNumber;

	private long placed;

	private long waited;

	private long backfilled;

	private int earmarks;

	private long engineRefusals;

	private LeastCostScheduler(long now) {
		this.startedAt = now;
		this.decidedAt = now;
	}

	/**
	 * Creates a scheduler that knows no engines and no placements.
	 * @param now the current time in nanoseconds
	 * @return the scheduler
	 */
	public static LeastCostScheduler create(long now) {
		return new LeastCostScheduler(now);
	}

	@Override
	public void setEngines(Collection<RegisteredEndpoint> engines, long memoryTokens, long now) {
		this.ledger.setEngines(engines, memoryTokens);
		this.engineIds = engines.stream().map(RegisteredEndpoint::id).sorted().toList();
	}

	@Override
	public void add(GenerationRequest request, long now) {
		this.vmSeenAt.put(request.vm(), now);
		SchedulingRefusal refusal = this.refusals.recent(request.id());
		if (refusal != null) {
			this.repeated.add(refusal);
			return;
		}
		if (this.ledger.hasEnded(request.id())) {
			return;
		}
		Placed known = this.ledger.find(request.id());
		if (known != null && !request.excludedEngines().contains(known.engine())) {
			this.repeated.add(keepEngine(known, request, now).decision());
			return;
		}
		if (known != null) {
			this.ledger.remove(known, now);
		}
		WaitingRequest renewed = this.waiting.get(request.id());
		if (renewed != null) {
			renewed.renew(request, now);
			return;
		}
		this.shares.arrived(request.tokens());
		this.arrivals.add(request.priority(), request.tokens(), now);
		this.waiting.put(request.id(), new WaitingRequest(request, this.nextNumber++, now));
	}

	private Placed keepEngine(Placed known, GenerationRequest request, long now) {
		String prefillEngine = known.decision().prefillEngine();
		if (prefillEngine == null || !request.excludedEngines().contains(prefillEngine)) {
			return known;
		}
		this.ledger.remove(known, now);
		EngineMemory engine = this.ledger.memory(known.engine());
		PrefillChoice prefill = PrefillChoice.choose(new WaitingRequest(request, 0, now), engine,
				this.ledger.prefillEngines(), this.prefills, 0, request.onTimeMillis(), now);
		return add(request, engine, prefill, now);
	}

	private Placed add(GenerationRequest request, EngineMemory engine, PrefillChoice prefill, long now) {
		Placed added = new Placed(new Holding(request.id(), engine.id(), prefill.prefillEngine(),
				request.promptTokens(), request.tokens(), 0), request.vm(), now, now);
		added.expectPrefill(prefill.millis());
		this.ledger.add(added, now);
		return added;
	}

	@Override
	public void prefilled(String requestId, String engine, long promptTokens, long millis, long now) {
		this.ledger.prefilled(requestId, engine, promptTokens, millis, now);
	}

	@Override
	public void ended(String requestId, long streamMillis, long now) {
		this.waiting.remove(requestId);
		this.ledger.ended(requestId, streamMillis, now);
	}

	@Override
	public void refusedByEngine(String requestId, String engine, long now) {
		this.engineRefusals++;
		this.ledger.refused(requestId, engine, now);
	}

	@Override
	public void setHoldings(String vm, Collection<Holding> holdings, long now) {
		this.vmSeenAt.put(vm, now);
		this.ledger.setHoldings(vm, holdings, now);
		holdings.forEach((holding) -> this.waiting.remove(holding.requestId()));
	}

	@Override
	public List<SchedulingDecision> decide(long now) {
		this.ledger.expire(now);
		this.refusals.expire(now);
		this.vmSeenAt.values().removeIf((seenAt) -> now - seenAt > SILENT_NANOS);
		this.waiting.values().removeIf((request) -> !this.vmSeenAt.containsKey(request.request().vm()));
		List<SchedulingDecision> decisions = new ArrayList<>(this.repeated);
		this.repeated.clear();
		if (this.waiting.size() > LONG_QUEUE && now - this.decidedAt < LONG_QUEUE_NANOS) {
			return decisions;
		}
		if (now - this.startedAt >= START_NANOS && !this.waiting.isEmpty()) {
			this.decidedAt = now;
			decideWaiting(decisions, now);
		}
		else {
			this.earmarks = 0;
		}
		return decisions;
	}

	private void decideWaiting(List<SchedulingDecision> decisions, long now) {
		this.shares.update();
		this.arrivals.advance(now);
		DecodeChoice engines = new DecodeChoice(this.ledger.decodeEngines(), this.prefills, this.times, now);
		Backlog backlog = Backlog.of(this.ledger, this.prefills, this.times, now);
		for (WaitingRequest request : this.order.sort(this.waiting.values(), this.times.overheadMillis(),
				this.prefills.meanTokensPerMilli(), now)) {
			SchedulingDecision decision = decide(request, engines, backlog, now);
			if (decision != null) {
				this.waiting.remove(decision.requestId());
				decisions.add(decision);
			}
		}
		this.earmarks = engines.earmarks();
	}

	private @Nullable SchedulingDecision decide(WaitingRequest waiting, DecodeChoice engines, Backlog backlog,
			long now) {
		GenerationRequest request = waiting.request();
		if (!DecodeChoice.canHold(this.ledger.decodeEngines(), request.tokens())) {
			return this.refusals.refuse(waiting, Refusals.Reason.TOO_LARGE, Refusals.SPREAD_MILLIS, 0, now);
		}
		double startMillis = this.times.overheadMillis() + request.promptTokens() / this.prefills.meanTokensPerMilli();
		EngineMemory engine = engines.choose(waiting);
		double wait;
		if (engine != null) {
			PrefillChoice prefill = PrefillChoice.choose(waiting, engine, this.ledger.prefillEngines(), this.prefills,
					backlog.promptMillis(), waiting.slackMillis(this.times.overheadMillis(), now), now);
			if (prefill.waitMillis() == 0 && waiting.deadlineMillis(now) > 0) {
				double value = (waiting.slackMillis(startMillis, now) < 0) ? RankShares.LATE_VALUE : 1;
				this.shares.decided(request, value, now);
				return place(waiting, engine, prefill, engines, now);
			}
			wait = Math.max(prefill.waitMillis(), backlog.addPrompt(request));
		}
		else {
			wait = memoryMillis(waiting, waiting.slackMillis(startMillis, now), engines, backlog);
			wait = Math.max(wait, backlog.addPrompt(request));
		}
		Refusals.Reason reason = Refusals.reason(waiting, wait, startMillis, this.times.streamMillis(request), now);
		if (reason != null) {
			this.shares.decided(request, 0, now);
			return this.refusals.refuse(waiting, reason, wait, backlog.turnoverMillis(request), now);
		}
		waiting.expectWait(wait);
		return null;
	}

	private double memoryMillis(WaitingRequest waiting, double slackMillis, DecodeChoice engines, Backlog backlog) {
		GenerationRequest request = waiting.request();
		backlog.addMemory(request);
		double room = engines.earmark(waiting);
		double wait = Double.isInfinite(room)
				? backlog.memoryMillis(this.arrivals.precedingTokens(request.priority(), false, this.shares)) : room;
		double tolerance = this.shares.goesFirst(request) ? GATHERING_MILLIS : 0;
		if (wait <= slackMillis + tolerance || this.ledger.decodeEngines().isEmpty()) {
			return Math.min(wait, Math.max(0, slackMillis + tolerance));
		}
		// Requests that arrive later go before it once it is late.
		return Math.max(wait,
				backlog.memoryMillis(this.arrivals.precedingTokens(request.priority(), true, this.shares)));
	}

	private EnginePlacement place(WaitingRequest waiting, EngineMemory engine, PrefillChoice prefill,
			DecodeChoice engines, long now) {
		GenerationRequest request = waiting.request();
		Placed added = add(request, engine, prefill, now);
		this.placed++;
		if (waiting.waited()) {
			this.waited++;
		}
		if (engines.placed(engine, request.tokens())) {
			this.backfilled++;
		}
		return added.decision();
	}

	@Override
	public long expectedWaitMillis(String requestId, long now) {
		WaitingRequest request = this.waiting.get(requestId);
		return (request != null) ? Math.max(1, (long) request.expectedWaitMillis()) : 0;
	}

	@Override
	public int waiting() {
		return this.waiting.size();
	}

	@Override
	public List<String> enginesBySpeed() {
		return this.engineIds.stream()
			.sorted(Comparator.comparingDouble((id) -> -this.prefills.tokensPerMilli(id)))
			.toList();
	}

	/**
	 * Returns what this scheduler has done since its start.
	 * @return the counts
	 */
	public SchedulerCounts counts() {
		return new SchedulerCounts(this.placed, this.waited, this.backfilled, this.earmarks,
				this.refusals.count(Refusals.Reason.TOO_LARGE), this.refusals.count(Refusals.Reason.LATE),
				this.refusals.count(Refusals.Reason.DEADLINE), this.engineRefusals);
	}

}
