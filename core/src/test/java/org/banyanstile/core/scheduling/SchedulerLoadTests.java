package org.banyanstile.core.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;

import org.banyanstile.core.catalog.EndpointRole;
import org.banyanstile.core.catalog.RegisteredEndpoint;
import org.banyanstile.core.placement.AdmissionQueue;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/**
 * Plays a load above the memory of the engines through the scheduler, and through an
 * {@link AdmissionQueue} at each VM.
 *
 * @author banyanstile contributors
 */
class SchedulerLoadTests {

	private static final int SECONDS = 60;

	private static final int VMS = 60;

	private static final int DECODE_ENGINES = 34;

	private static final int PREFILL_ENGINES = 8;

	private static final long MEMORY_TOKENS = 30_000;

	private static final long LARGE_TOKENS = 7000;

	private final PriorityQueue<Task> tasks = new PriorityQueue<>(
			Comparator.comparingDouble(Task::at).thenComparingLong(Task::number));

	private final Map<String, Long> used = new HashMap<>();

	private final Map<String, Double> prefillFreeAt = new HashMap<>();

	private final List<RegisteredEndpoint> engines = new ArrayList<>();

	private final Random random = new Random(7);

	private long number;

	private int now;

	@Test
	void callersGetMoreFromTheSchedulerThanFromQueuesOfTheVms() {
		List<Stream> scheduled = new SchedulerLoadTests().play(true, 64);
		List<Stream> queued = new SchedulerLoadTests().play(false, 64);
		assertThat(credit(scheduled, (stream) -> true), greaterThan(credit(queued, (stream) -> true) + 0.05));
		assertThat(refusalMillis(scheduled), lessThan(300.0));
		Predicate<Stream> large = (stream) -> stream.tokens >= LARGE_TOKENS;
		assertThat(credit(scheduled, large), greaterThan(credit(queued, large) + 0.3));
		double higher = 1;
		for (int i = 0; i < 3; i++) {
			int rank = i;
			Predicate<Stream> ofRank = (stream) -> stream.rank == rank;
			double credit = credit(scheduled, ofRank);
			assertThat(credit, lessThan(higher + 0.01));
			assertThat(credit, greaterThan(0.7 * higher));
			assertThat(served(scheduled, large.and(ofRank)), greaterThan(0.75 * served(scheduled, ofRank)));
			higher = credit;
		}
	}

	@Test
	void nothingIsRefusedOrLateWhileThereIsRoom() {
		List<Stream> scheduled = new SchedulerLoadTests().play(true, 40);
		assertThat(served(scheduled, (stream) -> true), is(1.0));
		assertThat(credit(scheduled, (stream) -> true), greaterThan(0.99));
	}

	private static double credit(List<Stream> streams, Predicate<Stream> filter) {
		return streams.stream().filter(filter).mapToDouble((stream) -> {
			double worth = 0.3 + 0.7 * stream.tokens / 4400;
			return worth * (stream.isOnTime() ? 1 : (stream.firstEventAt > 0) ? 0.15 : 0);
		}).sum() / streams.stream().filter(filter).mapToDouble((stream) -> 0.3 + 0.7 * stream.tokens / 4400).sum();
	}

	private static double served(List<Stream> streams, Predicate<Stream> filter) {
		return streams.stream()
			.filter(filter)
			.mapToInt((stream) -> (stream.firstEventAt > 0) ? 1 : 0)
			.average()
			.orElse(0);
	}

	private static double refusalMillis(List<Stream> streams) {
		return streams.stream()
			.filter((stream) -> stream.refusedAt > 0)
			.mapToDouble((stream) -> stream.refusedAt - stream.arrivedAt)
			.average()
			.orElse(0);
	}

	private List<Stream> play(boolean scheduled, int perSecond) {
		for (int i = 0; i < DECODE_ENGINES + PREFILL_ENGINES; i++) {
			EndpointRole role = (i < DECODE_ENGINES) ? EndpointRole.DECODE : EndpointRole.PREFILL;
			this.engines
				.add(new RegisteredEndpoint("e" + i, "llm", "10.0.0.1:80", "dc" + i % 3, role, true, 48, 0, 0, ""));
		}
		Admission admission = scheduled ? new ScheduledAdmission() : new QueuedAdmission();
		List<Stream> streams = new ArrayList<>();
		for (this.now = 1; this.now < (SECONDS + 20) * 1000; this.now++) {
			if (this.now < SECONDS * 1000 && this.random.nextDouble() < perSecond / 1000.0) {
				Stream stream = new Stream(streams.size(), this.now, this.random);
				streams.add(stream);
				admission.arrive(stream);
			}
			while (!this.tasks.isEmpty() && this.tasks.peek().at() <= this.now) {
				this.tasks.remove().action().run();
			}
			admission.tick();
		}
		return streams;
	}

	private boolean start(Stream stream, String decode, String prefill, Admission admission) {
		if (this.used.getOrDefault(decode, 0L) + stream.tokens > MEMORY_TOKENS) {
			return false;
		}
		this.used.merge(decode, stream.tokens, Long::sum);
		double begin = Math.max(this.now + 5, this.prefillFreeAt.getOrDefault(prefill, 0.0));
		double speed = prefill.equals(decode) ? 15 : isSlow(prefill) ? 14 : 33;
		double end = begin + stream.promptTokens / speed;
		this.prefillFreeAt.put(prefill, end);
		at(end + 5, () -> admission.prefilled(stream, prefill, (long) (end + 5 - this.now) + (long) (end - begin)));
		stream.firstEventAt = end + 40;
		double streamMillis = (stream.tokens - stream.promptTokens) * 3.0;
		at(end + 40 + streamMillis, () -> {
			this.used.merge(decode, -stream.tokens, Long::sum);
			admission.ended(stream, (long) streamMillis);
		});
		return true;
	}

	private static boolean isSlow(String engine) {
		return Integer.parseInt(engine.substring(1)) % 3 == 0;
	}

	private void at(double at, Runnable action) {
		this.tasks.add(new Task(at, this.number++, action));
	}

	private interface Admission {

		void arrive(Stream stream);

		void prefilled(Stream stream, String engine, long millis);

		void ended(Stream stream, long millis);

		void tick();

	}

	private final class ScheduledAdmission implements Admission {

		private final LeastCostScheduler scheduler = LeastCostScheduler.create(0);

		private final Map<String, Stream> streams = new HashMap<>();

		private ScheduledAdmission() {
			this.scheduler.setEngines(SchedulerLoadTests.this.engines, MEMORY_TOKENS, 0);
		}

		private long nanos() {
			return SchedulerLoadTests.this.now * 1_000_000L;
		}

		@Override
		public void arrive(Stream stream) {
			this.streams.put(stream.id, stream);
			this.scheduler.add(
					new GenerationRequest(stream.id, "vm" + stream.vm, "dc" + stream.vm % 3, stream.rank,
							stream.promptTokens, stream.tokens, Stream.OBJECTIVE_MILLIS, 14_000, 300, Set.of()),
					nanos());
		}

		@Override
		public void prefilled(Stream stream, String engine, long millis) {
			this.scheduler.prefilled(stream.id, engine, stream.promptTokens, millis, nanos());
		}

		@Override
		public void ended(Stream stream, long millis) {
			this.scheduler.ended(stream.id, millis, nanos());
			this.streams.remove(stream.id);
		}

		@Override
		public void tick() {
			if (SchedulerLoadTests.this.now % 1000 == 0) {
				for (int vm = 0; vm < VMS; vm++) {
					repeat(vm);
				}
			}
			for (SchedulingDecision decision : this.scheduler.decide(nanos())) {
				Stream stream = this.streams.get(decision.requestId());
				if (decision instanceof EnginePlacement placement) {
					String prefill = placement.prefillEngine();
					stream.engine = placement.engine();
					start(stream, placement.engine(), (prefill != null) ? prefill : placement.engine(), this);
				}
				else {
					stream.refusedAt = SchedulerLoadTests.this.now;
					this.streams.remove(stream.id);
				}
			}
		}

		private void repeat(int vm) {
			List<Holding> holdings = new ArrayList<>();
			for (Stream stream : this.streams.values()) {
				if (stream.vm == vm && !stream.engine.isEmpty()) {
					String prefill = (stream.firstEventAt - 35 > SchedulerLoadTests.this.now) ? "unknown" : null;
					holdings.add(new Holding(stream.id, stream.engine, prefill, stream.promptTokens, stream.tokens, 0));
				}
			}
			this.scheduler.setHoldings("vm" + vm, holdings, nanos());
		}

	}

	private final class QueuedAdmission implements Admission {

		private final List<AdmissionQueue> queues = new ArrayList<>();

		private final Map<Stream, AdmissionQueue.Ticket> waiting = new HashMap<>();

		private final List<Stream> order = new ArrayList<>();

		private QueuedAdmission() {
			for (int vm = 0; vm < VMS; vm++) {
				this.queues.add(AdmissionQueue.create(1));
			}
		}

		@Override
		public void arrive(Stream stream) {
			this.order.add(stream);
			this.waiting.put(stream, this.queues.get(stream.vm).add(false, stream.rank, stream.tokens));
		}

		@Override
		public void prefilled(Stream stream, String engine, long millis) {
		}

		@Override
		public void ended(Stream stream, long millis) {
		}

		@Override
		public void tick() {
			this.order.removeIf((stream) -> {
				int age = SchedulerLoadTests.this.now - stream.arrivedAt;
				AdmissionQueue queue = this.queues.get(stream.vm);
				if (age == 550) {
					this.waiting.put(stream, queue.markLate(this.waiting.get(stream)));
				}
				boolean placed = age % 40 == 0 && queue.mayReserve(this.waiting.get(stream)) && reserve(stream);
				if (!placed && age <= 2550) {
					return false;
				}
				stream.refusedAt = placed ? 0 : SchedulerLoadTests.this.now;
				queue.remove(this.waiting.get(stream));
				return true;
			});
		}

		private boolean reserve(Stream stream) {
			// The most free of half of the engines, since reported loads are old.
			List<String> decode = new ArrayList<>();
			for (int i = 0; i < DECODE_ENGINES / 2; i++) {
				decode.add("e" + SchedulerLoadTests.this.random.nextInt(DECODE_ENGINES));
			}
			decode.sort(Comparator.comparingLong((id) -> SchedulerLoadTests.this.used.getOrDefault(id, 0L)));
			String prefill = SchedulerLoadTests.this.engines.stream()
				.filter((engine) -> engine.role() == EndpointRole.PREFILL)
				.map(RegisteredEndpoint::id)
				.min(Comparator.comparingDouble((id) -> SchedulerLoadTests.this.prefillFreeAt.getOrDefault(id, 0.0)))
				.orElseThrow();
			return decode.subList(0, 3).stream().anyMatch((id) -> start(stream, id, prefill, this));
		}

	}

	private record Task(double at, long number, Runnable action) {

	}

	private static final class Stream {

		private static final int OBJECTIVE_MILLIS = 900;

		private final String id;

		private final int vm;

		private final int rank;

		private final int arrivedAt;

		private final long promptTokens;

		private final long tokens;

		private String engine = "";

		private double firstEventAt;

		private int refusedAt;

		private Stream(int number, int arrivedAt, Random random) {
			this.id = "r" + number;
			this.arrivedAt = arrivedAt;
			this.vm = random.nextInt(VMS);
			double kind = random.nextDouble();
			this.rank = (kind < 0.15) ? 0 : (kind < 0.75) ? 1 : 2;
			this.promptTokens = 200 + (long) Math.min(6600, 3000 * Math.exp(0.5 * random.nextGaussian() - 0.12));
			this.tokens = this.promptTokens
					+ (long) Math.min(3500, 1200 * Math.exp(0.6 * random.nextGaussian() - 0.18));
		}

		private boolean isOnTime() {
			return this.firstEventAt > 0 && this.firstEventAt - this.arrivedAt <= OBJECTIVE_MILLIS;
		}

	}

}
