package org.banyanstile.benchmark;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;

import org.banyanstile.core.admission.SlotOutcome;
import org.banyanstile.core.common.EndpointId;
import org.banyanstile.core.routing.Candidate;
import org.banyanstile.core.routing.LaggingLoad;
import org.banyanstile.core.routing.LoadReport;
import org.banyanstile.core.routing.TwoChoices;

/**
 * Chooses engines by the load reports that each VM receives, without a pool owner.
 *
 * @author banyanstile contributors
 */
final class LoadSource implements SlotSource {

	private static final long REPORT_PERIOD = 500 * Deployment.MILLI;

	private static final long REPORT_LAG = 500 * Deployment.MILLI;

	private final List<LaggingLoad> loads = new ArrayList<>();

	private final List<TwoChoices> choices = new ArrayList<>();

	private final EventQueue events;

	private final List<FakeEngine> engines;

	private final boolean twoChoices;

	private long messages;

	LoadSource(EventQueue events, List<FakeEngine> engines, int vms, boolean twoChoices, long seed) {
		this.events = events;
		this.engines = engines;
		this.twoChoices = twoChoices;
		for (int vm = 0; vm < vms; vm++) {
			LaggingLoad load = new LaggingLoad();
			this.loads.add(load);
			this.choices.add(TwoChoices.create(load, new Random(seed + vm)));
		}
		events.every(REPORT_PERIOD, this::report);
	}

	private void report() {
		long measuredAt = this.events.now();
		for (FakeEngine engine : this.engines) {
			LoadReport report = new LoadReport(engine.active(), Deployment.SLOTS, engine.isCold(), measuredAt);
			this.messages += this.loads.size();
			this.events.after(REPORT_LAG, () -> this.loads.forEach((load) -> load.reported(engine.endpoint, report)));
		}
	}

	@Override
	public void request(Job job, long maxWaitNanos, Consumer<Optional<FakeEngine>> result) {
		List<FakeEngine> usable = this.engines.stream()
			.filter((engine) -> !engine.isDrained() && !job.excluded.contains(engine.endpoint))
			.toList();
		LaggingLoad load = this.loads.get(job.vm);
		Optional<FakeEngine> chosen = this.twoChoices ? twoChoices(usable, job.vm)
				: usable.stream().min(Comparator.comparingInt((engine) -> load.estimate(engine.endpoint)));
		chosen.ifPresent((engine) -> load.started(engine.endpoint));
		result.accept(chosen);
	}

	private Optional<FakeEngine> twoChoices(List<FakeEngine> usable, int vm) {
		List<Candidate> candidates = usable.stream().map((engine) -> engine.candidate).toList();
		Optional<EndpointId> chosen = this.choices.get(vm).choose(candidates, vm, this.loads.size());
		return chosen.flatMap((id) -> usable.stream().filter((engine) -> engine.endpoint.equals(id)).findFirst());
	}

	@Override
	public void release(Job job, FakeEngine engine, SlotOutcome outcome) {
		this.loads.get(job.vm).ended(engine.endpoint);
	}

	@Override
	public long messages() {
		return this.messages;
	}

}
