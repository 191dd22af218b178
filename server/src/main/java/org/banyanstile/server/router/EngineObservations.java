package org.banyanstile.server.router;

import java.util.List;

import org.banyanstile.core.placement.EngineSpeeds;
import org.banyanstile.core.placement.FleetWork;
import org.banyanstile.core.placement.RoleDemand;
import org.banyanstile.server.gossip.GossipEngines;
import org.banyanstile.server.gossip.GossipSpeed;
import org.banyanstile.server.gossip.GossipWork;
import org.jspecify.annotations.Nullable;

/**
 * What all VMs observe of the engines: the work that requests bring and the speeds of the
 * engines.
 *
 * @author banyanstile contributors
 */
final class EngineObservations {

	private final EngineSpeeds speeds = new EngineSpeeds();

	private final FleetWork work = new FleetWork();

	EngineSpeeds.Table speeds() {
		return this.speeds.table(System.nanoTime());
	}

	/**
	 * Records a prefill at a prefill engine.
	 * @param service name of the service
	 * @param engine id of the engine
	 * @param tokens tokens of the prompt
	 * @param queuedTokens tokens that were queued before it
	 * @param millis time from the request to the response
	 */
	void prefilled(String service, String engine, long tokens, long queuedTokens, long millis) {
		this.speeds.prefilled(engine, tokens, queuedTokens, millis);
		prefill(service, engine, tokens);
	}

	/**
	 * Records a prefill at a decode engine.
	 * @param service name of the service
	 * @param engine id of the engine
	 * @param tokens tokens of the prompt
	 */
	void prefill(String service, String engine, long tokens) {
		this.work.prefilled(service, Math.round(tokens / speeds().of(engine)));
	}

	/**
	 * Records the events of a stream.
	 * @param engine id of the engine
	 * @param events number of events after the first
	 * @param millis time from the first event to the last
	 */
	void streamed(String engine, int events, long millis) {
		this.speeds.streamed(engine, events, millis);
	}

	/**
	 * Records that a generation needed memory.
	 * @param service name of the service
	 * @param tokens its tokens
	 * @param millis how long it waited for the memory or had it, without its prefill
	 */
	void needed(String service, long tokens, long millis) {
		this.work.needed(service, tokens, millis);
	}

	/**
	 * Returns the demand for the engines of a service.
	 * @param vm name of this VM
	 * @param service name of the service
	 * @return the demand, or {@code null} if it is not known yet
	 */
	@Nullable
	RoleDemand demand(String vm, String service) {
		long now = System.nanoTime();
		this.work.report(vm, this.work.own(), now);
		return this.work.demand(service, now);
	}

	GossipEngines own() {
		return new GossipEngines(
				this.work.own()
					.stream()
					.map((one) -> new GossipWork(one.service(), one.prefillMillis(), one.memoryTokenMillis()))
					.toList(),
				this.speeds.own()
					.stream()
					.map((one) -> new GossipSpeed(one.engine(), one.prefillTokens(), one.prefillMillis(), one.events(),
							one.eventMillis()))
					.toList());
	}

	void report(String vm, @Nullable GossipEngines engines, long now) {
		if (engines == null) {
			return;
		}
		List<FleetWork.Work> reported = engines.work()
			.stream()
			.map((one) -> new FleetWork.Work(one.service(), one.prefillMillis(), one.memoryTokenMillis()))
			.toList();
		this.work.report(vm, reported, now);
		this.speeds.report(vm,
				engines.speeds()
					.stream()
					.map((one) -> new EngineSpeeds.Sample(one.engine(), one.prefillTokens(), one.prefillMillis(),
							one.events(), one.eventMillis()))
					.toList(),
				now);
	}

}
