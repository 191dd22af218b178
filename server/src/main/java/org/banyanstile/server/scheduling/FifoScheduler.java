package org.banyanstile.server.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.banyanstile.core.catalog.EndpointRole;
import org.banyanstile.core.catalog.RegisteredEndpoint;
import org.banyanstile.core.scheduling.EnginePlacement;
import org.banyanstile.core.scheduling.GenerationRequest;
import org.banyanstile.core.scheduling.GenerationScheduler;
import org.banyanstile.core.scheduling.Holding;
import org.banyanstile.core.scheduling.SchedulingDecision;
import org.banyanstile.core.scheduling.SchedulingRefusal;
import org.jspecify.annotations.Nullable;

/**
 * Places requests in the order of their arrival on the engine with the most free memory.
 *
 * @author banyanstile contributors
 */
public final class FifoScheduler implements GenerationScheduler {

	private static final long LOST_NANOS = 3_000_000_000L;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final Map<String, RegisteredEndpoint> engines = new HashMap<>();

	private final Map<String, Waiting> waiting = new LinkedHashMap<>();

	private final Map<String, Placed> placed = new HashMap<>();

	private final List<SchedulingDecision> repeated = new ArrayList<>();

	private long memoryTokens;

	@Override
	public void setEngines(Collection<RegisteredEndpoint> usable, long tokens, long now) {
		this.engines.clear();
		usable.forEach((engine) -> this.engines.put(engine.id(), engine));
		this.memoryTokens = tokens;
	}

	@Override
	public void add(GenerationRequest request, long now) {
		Placed known = this.placed.get(request.id());
		if (known != null && !request.excludedEngines().contains(known.engine())) {
			this.repeated.add(new EnginePlacement(request.id(), request.vm(), known.engine(), known.prefillEngine()));
			return;
		}
		this.placed.remove(request.id());
		this.waiting.put(request.id(), new Waiting(request, now));
	}

	@Override
	public void prefilled(String requestId, String engine, long promptTokens, long millis, long now) {
		this.placed.computeIfPresent(requestId, (id, held) -> held.withoutPrefill());
	}

	@Override
	public void ended(String requestId, long streamMillis, long now) {
		this.waiting.remove(requestId);
		this.placed.remove(requestId);
	}

	@Override
	public void refusedByEngine(String requestId, String engine, long now) {
		this.placed.remove(requestId);
	}

	@Override
	public void setHoldings(String vm, Collection<Holding> holdings, long now) {
		this.placed.entrySet()
			.removeIf((entry) -> entry.getValue().vm().equals(vm) && now - entry.getValue().at() > LOST_NANOS);
		for (Holding holding : holdings) {
			this.placed.put(holding.requestId(),
					new Placed(vm, holding.engine(), holding.prefillEngine(), holding.tokens(), now));
		}
	}

	@Override
	public List<SchedulingDecision> decide(long now) {
		List<SchedulingDecision> decisions = new ArrayList<>(this.repeated);
		this.repeated.clear();
		this.placed.values().removeIf((held) -> now - held.at() > LOST_NANOS);
		Iterator<Waiting> iterator = this.waiting.values().iterator();
		while (iterator.hasNext()) {
			Waiting next = iterator.next();
			GenerationRequest request = next.request();
			if (now - next.at() > Math.min(request.deadlineMillis() * NANOS_PER_MILLI, LOST_NANOS)) {
				iterator.remove();
				decisions.add(new SchedulingRefusal(request.id(), request.vm(), 1000));
				continue;
			}
			String engine = freest(request);
			if (engine == null) {
				break;
			}
			iterator.remove();
			Placed held = new Placed(request.vm(), engine, leastPrefills(request.excludedEngines()), request.tokens(),
					now);
			this.placed.put(request.id(), held);
			decisions.add(new EnginePlacement(request.id(), request.vm(), engine, held.prefillEngine()));
		}
		return decisions;
	}

	private @Nullable String freest(GenerationRequest request) {
		return this.engines.values()
			.stream()
			.filter((engine) -> engine.role() == EndpointRole.DECODE)
			.map(RegisteredEndpoint::id)
			.filter((engine) -> !request.excludedEngines().contains(engine)
					&& used(engine) + request.tokens() <= this.memoryTokens)
			.min(Comparator.comparingLong(this::used).thenComparing(Comparator.naturalOrder()))
			.orElse(null);
	}

	private @Nullable String leastPrefills(Set<String> excluded) {
		return this.engines.values()
			.stream()
			.filter((engine) -> engine.role() == EndpointRole.PREFILL)
			.map(RegisteredEndpoint::id)
			.filter((engine) -> !excluded.contains(engine))
			.min(Comparator.comparingLong(this::prefills).thenComparing(Comparator.naturalOrder()))
			.orElse(null);
	}

	private long used(String engine) {
		return this.placed.values()
			.stream()
			.filter((held) -> held.engine().equals(engine))
			.mapToLong(Placed::tokens)
			.sum();
	}

	private long prefills(String engine) {
		return this.placed.values().stream().filter((held) -> engine.equals(held.prefillEngine())).count();
	}

	@Override
	public long expectedWaitMillis(String requestId, long now) {
		return 0;
	}

	@Override
	public int waiting() {
		return this.waiting.size();
	}

	@Override
	public List<String> enginesBySpeed() {
		return this.engines.keySet().stream().sorted().toList();
	}

	private record Waiting(GenerationRequest request, long at) {

	}

	private record Placed(String vm, String engine, @Nullable String prefillEngine, long tokens, long at) {

		Placed withoutPrefill() {
			return new Placed(this.vm, this.engine, null, this.tokens, this.at);
		}

	}

}
