package org.banyanstile.core.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * Work that the requests of all VMs bring to the engines of each service, from counters
 * that every VM reports. It is for loads whose share of prefill is not known in advance
 * or changes during the day. Safe for use by several threads.
 *
 * @author banyanstile contributors
 */
public final class FleetWork {

	/**
	 * Time over which rates are measured: long against a burst of prompts, and against
	 * the time that an engine takes to change its role.
	 */
	static final long WINDOW_NANOS = 20_000_000_000L;

	/**
	 * Shortest time over which the rate of a VM is measured.
	 */
	static final long MIN_WINDOW_NANOS = 10_000_000_000L;

	/**
	 * Silence after which the work of a VM no longer counts.
	 */
	static final long MAX_SILENCE_NANOS = 6_000_000_000L;

	private static final long SAMPLE_NANOS = 1_000_000_000L;

	private final Map<String, Work> own = new HashMap<>();

	private final Map<String, Deque<Sample>> samples = new HashMap<>();

	/**
	 * Records the prefill of a prompt.
	 * @param service name of the service
	 * @param millis time that an engine takes for the prompt alone
	 */
	public synchronized void prefilled(String service, long millis) {
		this.own.merge(service, new Work(service, Math.max(0, millis), 0), Work::plus);
	}

	/**
	 * Records that a generation needed memory, whether it had it or waited for it.
	 * @param service name of the service
	 * @param tokens tokens of the generation
	 * @param millis how long it needed them, without its prefill
	 */
	public synchronized void needed(String service, long tokens, long millis) {
		this.own.merge(service, new Work(service, 0, Math.max(0, tokens) * Math.max(0, millis)), Work::plus);
	}

	/**
	 * Returns the work of this VM since its start.
	 * @return the work by service
	 */
	public synchronized List<Work> own() {
		return new ArrayList<>(this.own.values());
	}

	/**
	 * Records the counters of a VM.
	 * @param vm the VM
	 * @param work its work since its start
	 * @param now the current time in nanoseconds
	 */
	public synchronized void report(String vm, List<Work> work, long now) {
		Map<String, Work> byService = new HashMap<>();
		work.forEach((one) -> byService.put(one.service(), one));
		Deque<Sample> series = this.samples.computeIfAbsent(vm, (name) -> new ArrayDeque<>());
		Sample sample = new Sample(byService, now);
		Sample last = series.peekLast();
		if (last != null && sample.isBefore(last)) {
			series.clear();
		}
		while (!series.isEmpty() && now - series.getFirst().at() > WINDOW_NANOS) {
			series.removeFirst();
		}
		if (series.size() > 1 && now - series.getLast().at() < SAMPLE_NANOS) {
			return;
		}
		series.addLast(sample);
		this.samples.values().removeIf((other) -> now - other.getLast().at() > WINDOW_NANOS);
	}

	/**
	 * Returns the demand for the engines of a service.
	 * @param service name of the service
	 * @param now the current time in nanoseconds
	 * @return the demand, or {@code null} if it has not been observed for long enough
	 */
	public synchronized @Nullable RoleDemand demand(String service, long now) {
		double prefill = 0;
		double memory = 0;
		boolean observed = false;
		for (Deque<Sample> series : this.samples.values()) {
			Sample first = series.getFirst();
			Sample last = series.getLast();
			long nanos = last.at() - first.at();
			if (nanos < MIN_WINDOW_NANOS || now - last.at() > MAX_SILENCE_NANOS) {
				continue;
			}
			observed = true;
			double millis = nanos / 1e6;
			prefill += (last.of(service).prefillMillis() - first.of(service).prefillMillis()) / millis;
			memory += (last.of(service).memoryTokenMillis() - first.of(service).memoryTokenMillis()) / millis;
		}
		return observed ? new RoleDemand(prefill, memory) : null;
	}

	/**
	 * Work of a VM for the engines of a service.
	 *
	 * @param service name of the service
	 * @param prefillMillis time of engines that its prompts took
	 * @param memoryTokenMillis memory that its generations needed, in tokens times
	 * milliseconds
	 * @author banyanstile contributors
	 */
	public record Work(String service, long prefillMillis, long memoryTokenMillis) {

		Work plus(Work other) {
			return new Work(this.service, this.prefillMillis + other.prefillMillis,
					this.memoryTokenMillis + other.memoryTokenMillis);
		}

	}

	/**
	 * Counters of a VM.
	 *
	 * @param work its work by service
	 * @param at time of the report in nanoseconds
	 * @author banyanstile contributors
	 */
	private record Sample(Map<String, Work> work, long at) {

		Work of(String service) {
			return this.work.getOrDefault(service, new Work(service, 0, 0));
		}

		// A VM that has started again counts from zero.
		boolean isBefore(Sample other) {
			return other.work.values()
				.stream()
				.anyMatch((work) -> of(work.service()).prefillMillis() < work.prefillMillis()
						|| of(work.service()).memoryTokenMillis() < work.memoryTokenMillis());
		}

	}

}
