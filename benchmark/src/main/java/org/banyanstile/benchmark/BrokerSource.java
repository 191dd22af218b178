package org.banyanstile.benchmark;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import org.banyanstile.core.admission.SlotBroker;
import org.banyanstile.core.admission.SlotDecision;
import org.banyanstile.core.admission.SlotOutcome;
import org.banyanstile.core.admission.SlotRequest;
import org.banyanstile.core.common.EndpointId;
import org.banyanstile.core.common.TeamId;
import org.banyanstile.core.common.VmId;

/**
 * Requests engines from the real broker, with the network delay in each direction.
 *
 * @author banyanstile contributors
 */
final class BrokerSource implements SlotSource {

	private static final long LOAD_REPORT_PERIOD = 500 * Deployment.MILLI;

	private static final long TICK = 20 * Deployment.MILLI;

	private static final long STREAM_LIST_PERIOD = 2000 * Deployment.MILLI;

	private static final long CONFIGURATION_PERIOD = 5000 * Deployment.MILLI;

	private final SlotBroker broker = SlotBroker.takeOver();

	private final Map<String, Consumer<Optional<FakeEngine>>> pending = new HashMap<>();

	private final Map<EndpointId, FakeEngine> engines;

	private final EventQueue events;

	private final long delay;

	private final boolean fair;

	private long messages;

	BrokerSource(EventQueue events, List<FakeEngine> engines, long delay, boolean fair) {
		this.events = events;
		this.engines = engines.stream().collect(Collectors.toMap((engine) -> engine.endpoint, (engine) -> engine));
		this.delay = delay;
		this.fair = fair;
		configure();
		engines.forEach((engine) -> this.broker.observed(engine.endpoint, List.of(), 0, 0));
		events.every(TICK, () -> deliver(this.broker.tick(events.now())));
		events.every(LOAD_REPORT_PERIOD, this::reportLoad);
		events.every(STREAM_LIST_PERIOD, this::listStreams);
		events.every(CONFIGURATION_PERIOD, this::configure);
	}

	private void configure() {
		deliver(this.broker.configure(this.engines.values()
			.stream()
			.filter((engine) -> !engine.isDrained())
			.map((engine) -> engine.candidate)
			.sorted((a, b) -> a.endpoint().compareTo(b.endpoint()))
			.toList(), this.events.now()));
	}

	private void listStreams() {
		this.messages += this.engines.size();
		long now = this.events.now();
		this.engines.values()
			.forEach((engine) -> deliver(this.broker.observed(engine.endpoint, engine.streams(), now, now)));
	}

	private void reportLoad() {
		this.messages += this.engines.size();
		this.engines.values()
			.stream()
			.filter(FakeEngine::isCold)
			.forEach((engine) -> this.broker.coldDetected(engine.endpoint));
	}

	@Override
	public void request(Job job, long maxWaitNanos, Consumer<Optional<FakeEngine>> result) {
		this.messages += 2;
		TeamId team = TeamId.of(this.fair ? "team-" + job.team : "all");
		SlotRequest request = new SlotRequest(job.id, VmId.of("vm-" + job.vm), team, 1, job.tokens(), maxWaitNanos,
				false, null, Set.copyOf(job.excluded));
		this.events.after(this.delay, () -> {
			this.pending.put(job.id, result);
			deliver(this.broker.request(request, this.events.now()));
		});
	}

	@Override
	public void release(Job job, FakeEngine engine, SlotOutcome outcome) {
		this.messages++;
		this.events.after(this.delay, () -> deliver(this.broker.release(job.id, outcome, this.events.now())));
	}

	@Override
	public long messages() {
		return this.messages;
	}

	private void deliver(List<SlotDecision> decisions) {
		for (SlotDecision decision : decisions) {
			Consumer<Optional<FakeEngine>> result = this.pending.remove(decision.requestId());
			if (result == null) {
				continue;
			}
			Optional<FakeEngine> engine = (decision instanceof SlotDecision.Granted granted)
					? Optional.ofNullable(this.engines.get(granted.endpoint())) : Optional.empty();
			this.events.after(this.delay, () -> result.accept(engine));
		}
	}

}
