package org.banyanstile.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * Speeds of engines, measured by all VMs together. It is for services whose engines
 * differ in speed: a VM sends too few prompts to each engine to know it, and a decode
 * engine is to be compared with a prefill engine before their roles are exchanged. Safe
 * for use by several threads.
 *
 * @author banyanstile contributors
 */
public final class EngineSpeeds {

	/**
	 * Prompts below this length are not measured, since the latency of the network makes
	 * up too much of their time.
	 */
	static final long MIN_PROMPT_TOKENS = 1000;

	/**
	 * Prefilled tokens after which the speed of an engine counts as known, some three
	 * prompts.
	 */
	static final long MIN_PREFILL_TOKENS = 6000;

	/**
	 * Events after which the pace of an engine counts as known, some two streams.
	 */
	static final long MIN_EVENTS = 200;

	/**
	 * Tokens and events above which the sums of a VM are halved, so that the speed
	 * follows an engine that becomes slower.
	 */
	static final long MAX_PREFILL_TOKENS = 40_000;

	static final long MAX_EVENTS = 4000;

	/**
	 * Samples in one report. The others follow in the next reports.
	 */
	static final int MAX_REPORTED = 8;

	/**
	 * Age after which the samples of a VM no longer count.
	 */
	static final long MAX_AGE_NANOS = 60_000_000_000L;

	private static final long TABLE_AGE_NANOS = 500_000_000L;

	private static final int MAX_ENGINES = 4096;

	private final Map<String, Sample> own = new HashMap<>();

	private final Map<String, Report> reports = new HashMap<>();

	private int next;

	private @Nullable Table table;

	private long tableAt;

	/**
	 * Records a prefill.
	 * @param engine id of the engine
	 * @param tokens tokens of the prompt
	 * @param queuedTokens tokens that were queued before it
	 * @param millis time from the request to the response
	 */
	public synchronized void prefilled(String engine, long tokens, long queuedTokens, long millis) {
		if (tokens >= MIN_PROMPT_TOKENS && millis > 0) {
			add(new Sample(engine, tokens + queuedTokens, millis, 0, 0));
		}
	}

	/**
	 * Records a stream.
	 * @param engine id of the engine
	 * @param events number of events after the first
	 * @param millis time from the first event to the last
	 */
	public synchronized void streamed(String engine, long events, long millis) {
		if (events > 0 && millis > 0) {
			add(new Sample(engine, 0, 0, events, millis));
		}
	}

	private void add(Sample sample) {
		if (this.own.size() > MAX_ENGINES) {
			this.own.clear();
		}
		this.own.merge(sample.engine(), sample, (old, one) -> old.plus(one).bounded());
	}

	/**
	 * Returns samples of this VM for the other VMs.
	 * @return some of the samples, others in the next call
	 */
	public synchronized List<Sample> own() {
		List<Sample> all = new ArrayList<>(this.own.values());
		List<Sample> some = new ArrayList<>();
		for (int i = 0; i < Math.min(MAX_REPORTED, all.size()); i++) {
			this.next = (this.next + 1) % all.size();
			some.add(all.get(this.next));
		}
		return some;
	}

	/**
	 * Updates the samples of another VM.
	 * @param vm the VM
	 * @param samples some of its samples
	 * @param now the current time in nanoseconds
	 */
	public synchronized void report(String vm, List<Sample> samples, long now) {
		Report old = this.reports.get(vm);
		Map<String, Sample> byEngine = (old != null && old.samples().size() < MAX_ENGINES) ? old.samples()
				: new HashMap<>();
		samples.forEach((sample) -> byEngine.put(sample.engine(), sample));
		this.reports.put(vm, new Report(byEngine, now));
		this.reports.values().removeIf((report) -> now - report.receivedAt() > MAX_AGE_NANOS);
	}

	/**
	 * Returns the speeds of the engines.
	 * @param now the current time in nanoseconds
	 * @return the speeds, up to half a second old
	 */
	public synchronized Table table(long now) {
		Table last = this.table;
		if (last != null && now - this.tableAt < TABLE_AGE_NANOS) {
			return last;
		}
		Map<String, Sample> sums = new HashMap<>(this.own);
		this.reports.values()
			.forEach((report) -> report.samples()
				.values()
				.forEach((sample) -> sums.merge(sample.engine(), sample, Sample::plus)));
		Table fresh = Table.of(sums);
		this.table = fresh;
		this.tableAt = now;
		return fresh;
	}

	/**
	 * Measured work of an engine. Both sums are recent ones, not since its start.
	 *
	 * @param engine id of the engine
	 * @param prefillTokens tokens of prompts
	 * @param prefillMillis time of their prefill
	 * @param events events of streams
	 * @param eventMillis time of these events
	 * @author banyanstile contributors
	 */
	public record Sample(String engine, long prefillTokens, long prefillMillis, long events, long eventMillis) {

		Sample plus(Sample other) {
			return new Sample(this.engine, this.prefillTokens + other.prefillTokens,
					this.prefillMillis + other.prefillMillis, this.events + other.events,
					this.eventMillis + other.eventMillis);
		}

		Sample bounded() {
			int prefill = (this.prefillTokens > MAX_PREFILL_TOKENS) ? 2 : 1;
			int stream = (this.events > MAX_EVENTS) ? 2 : 1;
			return new Sample(this.engine, this.prefillTokens / prefill, this.prefillMillis / prefill,
					this.events / stream, this.eventMillis / stream);
		}

	}

	/**
	 * Speeds of engines.
	 *
	 * @param tokensPerMilli prefill speed of the known engines, by id; that of an engine
	 * that has only streamed is derived from its pace
	 * @param typical speed assumed for other engines
	 * @author banyanstile contributors
	 */
	public record Table(Map<String, Double> tokensPerMilli, double typical) {

		static Table of(Map<String, Sample> sums) {
			Map<String, Double> speeds = new HashMap<>();
			Map<String, Double> paces = new HashMap<>();
			sums.forEach((engine, sample) -> {
				if (sample.prefillTokens() >= MIN_PREFILL_TOKENS && sample.prefillMillis() > 0) {
					speeds.put(engine, sample.prefillTokens() / (double) sample.prefillMillis());
				}
				if (sample.events() >= MIN_EVENTS && sample.eventMillis() > 0) {
					paces.put(engine, sample.events() / (double) sample.eventMillis());
				}
			});
			double typical = speeds.isEmpty() ? PrefillSpeeds.DEFAULT_TOKENS_PER_MILLI : median(speeds.values());
			List<Double> ratios = new ArrayList<>();
			speeds.forEach((engine, speed) -> {
				Double pace = paces.get(engine);
				if (pace != null) {
					ratios.add(speed / pace);
				}
			});
			if (!paces.isEmpty()) {
				double ratio = ratios.isEmpty() ? typical / median(paces.values()) : median(ratios);
				paces.forEach((engine, pace) -> speeds.putIfAbsent(engine, ratio * pace));
			}
			return new Table(Map.copyOf(speeds), typical);
		}

		private static double median(Iterable<Double> values) {
			List<Double> sorted = new ArrayList<>();
			values.forEach(sorted::add);
			sorted.sort(null);
			int middle = sorted.size() / 2;
			return (sorted.size() % 2 == 1) ? sorted.get(middle) : (sorted.get(middle - 1) + sorted.get(middle)) / 2;
		}

		/**
		 * Returns the speed of an engine.
		 * @param engine id of the engine
		 * @return tokens per millisecond, above 0
		 */
		public double of(String engine) {
			return this.tokensPerMilli.getOrDefault(engine, this.typical);
		}

		boolean isKnown(String engine) {
			return this.tokensPerMilli.containsKey(engine);
		}

	}

	/**
	 * Samples of another VM.
	 *
	 * @param samples the samples by engine
	 * @param receivedAt time of the last report in nanoseconds
	 * @author banyanstile contributors
	 */
	private record Report(Map<String, Sample> samples, long receivedAt) {

	}

}
