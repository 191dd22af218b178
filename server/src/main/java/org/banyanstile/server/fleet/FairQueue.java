package org.banyanstile.server.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Predicate;

import org.banyanstile.server.caller.EndpointTarget;
import org.jspecify.annotations.Nullable;

/**
 * Weighted fair queue of requests for slots: each team gets a share of the tokens that
 * start, whatever the number and size of its requests. Not safe for use by several
 * threads.
 *
 * @author banyanstile contributors
 */
final class FairQueue {

	private final Map<String, Double> lastFinish = new HashMap<>();

	private final List<Entry> entries = new ArrayList<>();

	private double virtualTime;

	void add(SlotWait waiting) {
		double start = Math.max(this.virtualTime, this.lastFinish.getOrDefault(waiting.request().team(), 0.0));
		double finish = start + Math.max(1, waiting.request().cost()) / (double) Math.max(1, waiting.weight());
		this.lastFinish.put(waiting.request().team(), finish);
		this.entries.add(new Entry(waiting, start, finish));
	}

	/**
	 * Removes the first request for which there is an endpoint.
	 * @param chooser chooses an endpoint, or {@code null} if none is free for the request
	 * @return the request and its endpoint, or {@code null}
	 */
	@Nullable
	Match poll(Function<SlotWait, @Nullable EndpointTarget> chooser) {
		this.entries.sort(Comparator.comparingDouble(Entry::finish));
		for (Entry entry : this.entries) {
			EndpointTarget target = chooser.apply(entry.waiting());
			if (target != null) {
				this.entries.remove(entry);
				this.virtualTime = Math.max(this.virtualTime, entry.start());
				return new Match(entry.waiting(), target);
			}
		}
		if (this.entries.isEmpty()) {
			this.lastFinish.values().removeIf((finish) -> finish <= this.virtualTime);
		}
		return null;
	}

	List<SlotWait> removeIf(Predicate<SlotWait> condition) {
		List<SlotWait> removed = this.entries.stream().map(Entry::waiting).filter(condition).toList();
		this.entries.removeIf((entry) -> removed.contains(entry.waiting()));
		return removed;
	}

	int size() {
		return this.entries.size();
	}

	/**
	 * A request that gets an endpoint.
	 *
	 * @param waiting the request
	 * @param target the endpoint
	 * @author banyanstile contributors
	 */
	record Match(SlotWait waiting, EndpointTarget target) {

	}

	/**
	 * A waiting request.
	 *
	 * @param waiting the request
	 * @param start virtual start
	 * @param finish virtual finish
	 * @author banyanstile contributors
	 */
	private record Entry(SlotWait waiting, double start, double finish) {

	}

}
