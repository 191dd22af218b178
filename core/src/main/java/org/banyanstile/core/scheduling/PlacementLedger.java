package org.banyanstile.core.scheduling;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.banyanstile.core.catalog.EndpointRole;
import org.banyanstile.core.catalog.RegisteredEndpoint;
import org.jspecify.annotations.Nullable;

/**
 * All placements on the engines of a group, and the memory and prefill queues that they
 * use. Placed requests are known from the decisions of the scheduler and from the
 * holdings that VMs repeat.
 *
 * @author banyanstile contributors
 */
final class PlacementLedger {

	/**
	 * Time after which a placement ends that no holdings have confirmed.
	 */
	static final long UNCONFIRMED_NANOS = 3_000_000_000L;

	/**
	 * Age up to which a placement may be missing in holdings: these may have been sent
	 * before the placement arrived at the VM.
	 */
	static final long MISSING_NANOS = 500_000_000;

	/**
	 * Time for which an ended request is remembered, so that holdings that were sent
	 * before its end do not bring it back.
	 */
	static final long ENDED_NANOS = 2_000_000_000L;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final Map<String, EngineMemory> engines = new HashMap<>();

	private final Map<String, Placed> placed = new HashMap<>();

	private final Map<String, Long> endedAt = new LinkedHashMap<>();

	private final PrefillQueues prefills;

	private final StreamTimes times;

	private List<EngineMemory> decodeEngines = List.of();

	private List<RegisteredEndpoint> prefillEngines = List.of();

	PlacementLedger(PrefillQueues prefills, StreamTimes times) {
		this.prefills = prefills;
		this.times = times;
	}

	void setEngines(Collection<RegisteredEndpoint> registered, long memoryTokens) {
		this.prefillEngines = registered.stream().filter((engine) -> engine.role() == EndpointRole.PREFILL).toList();
		List<RegisteredEndpoint> decoding = registered.stream()
			.filter((engine) -> engine.role() == EndpointRole.DECODE)
			.toList();
		decoding.forEach((engine) -> memory(engine.id()).update(engine, memoryTokens));
		this.decodeEngines = decoding.stream().map((engine) -> memory(engine.id())).toList();
		Set<String> ids = new HashSet<>();
		registered.forEach((engine) -> ids.add(engine.id()));
		this.engines.values().removeIf((engine) -> engine.isEmpty() && !ids.contains(engine.id()));
		this.prefills.retainEngines(ids);
		this.times.retainEngines(ids);
	}

	EngineMemory memory(String engine) {
		return this.engines.computeIfAbsent(engine, EngineMemory::new);
	}

	List<EngineMemory> decodeEngines() {
		return this.decodeEngines;
	}

	List<RegisteredEndpoint> prefillEngines() {
		return this.prefillEngines;
	}

	@Nullable
	Placed find(String requestId) {
		return this.placed.get(requestId);
	}

	boolean hasEnded(String requestId) {
		return this.endedAt.containsKey(requestId);
	}

	void add(Placed added, long now) {
		this.placed.put(added.requestId(), added);
		memory(added.engine()).add(added);
		String prefillEngine = added.prefillEngine();
		if (prefillEngine != null) {
			this.prefills.begin(prefillEngine, added.requestId(), added.promptTokens(), now);
		}
		else if (added.prefillMillis() > 0) {
			this.prefills.begin(added.engine(), added.requestId(), added.promptTokens(), now);
		}
	}

	void remove(Placed removed, long now) {
		this.placed.remove(removed.requestId());
		memory(removed.engine()).remove(removed);
		endPrefill(removed, now);
	}

	private void endPrefill(Placed prefilled, long now) {
		String prefillEngine = prefilled.prefillEngine();
		this.prefills.end((prefillEngine != null) ? prefillEngine : prefilled.engine(), prefilled.requestId(), now);
		prefilled.endPrefill();
	}

	void prefilled(String requestId, String engine, long promptTokens, long millis, long now) {
		Placed prefilled = this.placed.get(requestId);
		if (prefilled == null) {
			return;
		}
		if (engine.equals(prefilled.prefillEngine())) {
			this.prefills.measure(engine, promptTokens, millis, now);
			endPrefill(prefilled, now);
		}
		else if (prefilled.prefillEngine() == null && engine.equals(prefilled.engine())) {
			endPrefill(prefilled, now);
		}
	}

	void ended(String requestId, long streamMillis, long now) {
		this.endedAt.put(requestId, now);
		Placed ended = this.placed.get(requestId);
		if (ended != null) {
			this.times.ended(ended, streamMillis, now);
			if (streamMillis > 0) {
				memory(ended.engine()).served();
			}
			remove(ended, now);
		}
	}

	/**
	 * Records that an engine refused the reservation of a request.
	 * @param requestId id of the request
	 * @param engine the engine
	 * @param now the current time in nanoseconds
	 */
	void refused(String requestId, String engine, long now) {
		Placed refused = this.placed.get(requestId);
		if (refused != null && refused.engine().equals(engine)) {
			remove(refused, now);
		}
		memory(engine).refused(now);
	}

	void setHoldings(String vm, Collection<Holding> holdings, long now) {
		Set<String> held = new HashSet<>();
		for (Holding holding : holdings) {
			held.add(holding.requestId());
			if (!hasEnded(holding.requestId())) {
				hold(vm, holding, now);
			}
		}
		List<Placed> missing = this.placed.values()
			.stream()
			.filter((known) -> known.vm().equals(vm) && !held.contains(known.requestId())
					&& now - known.placedAt() > MISSING_NANOS)
			.toList();
		missing.forEach((known) -> remove(known, now));
	}

	private void hold(String vm, Holding holding, long now) {
		Placed known = this.placed.get(holding.requestId());
		if (known != null && known.engine().equals(holding.engine())) {
			known.confirm(now);
			if (known.prefillEngine() != null && holding.prefillEngine() == null) {
				endPrefill(known, now);
			}
			return;
		}
		if (known != null) {
			remove(known, now);
		}
		add(new Placed(holding, vm, now - holding.ageMillis() * NANOS_PER_MILLI, now), now);
	}

	void expire(long now) {
		this.endedAt.values().removeIf((at) -> now - at > ENDED_NANOS);
		List<Placed> unconfirmed = this.placed.values()
			.stream()
			.filter((known) -> now - known.confirmedAt() > UNCONFIRMED_NANOS)
			.toList();
		unconfirmed.forEach((known) -> remove(known, now));
		// The end of a prefill by a decode engine need not be reported.
		for (Placed known : this.placed.values()) {
			if (known.prefillEngine() == null && known.prefillMillis() > 0
					&& now - known.placedAt() > 2 * known.prefillMillis() * NANOS_PER_MILLI) {
				this.prefills.end(known.engine(), known.requestId(), now);
			}
		}
	}

}
