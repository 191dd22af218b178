package org.banyanstile.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

/**
 * Simulates a burst that needs almost twice the available decode memory, and compares the
 * service that callers get from {@link AdmissionQueue} with that of a queue in order of
 * arrival.
 *
 * @author banyanstile contributors
 */
class AdmissionLoadTests {

	private static final long MEMORY_TOKENS = 4 * 42_000;

	private static final int OBJECTIVE_MILLIS = 550;

	private static final int QUEUE_TIMEOUT_MILLIS = 2550;

	private static final int STEP_MILLIS = 10;

	@Test
	void moreRequestsAreOnTimeThanInOrderOfArrival() {
		int byPriority = 0;
		int byArrival = 0;
		for (int seed = 0; seed < 20; seed++) {
			byPriority += onTime(simulate(seed, true));
			byArrival += onTime(simulate(seed, false));
		}
		assertThat(byPriority, is(greaterThan(byArrival)));
	}

	@Test
	void largestTenthIsServedAtLeastHalfAsOftenAsAll() {
		for (int seed = 0; seed < 20; seed++) {
			List<Job> jobs = simulate(seed, true);
			List<Job> largest = jobs.stream()
				.sorted(Comparator.comparingLong((Job job) -> -job.tokens))
				.limit(jobs.size() / 10)
				.toList();
			assertThat("seed " + seed, served(largest), is(greaterThanOrEqualTo(served(jobs) / 2)));
		}
	}

	private static int onTime(List<Job> jobs) {
		return (int) jobs.stream()
			.filter((job) -> job.startedAt >= 0 && job.startedAt - job.arrivedAt <= OBJECTIVE_MILLIS)
			.count();
	}

	private static double served(List<Job> jobs) {
		return jobs.stream().filter((job) -> job.startedAt >= 0).count() / (double) jobs.size();
	}

	private static List<Job> simulate(int seed, boolean bySize) {
		Random random = new Random(seed);
		AdmissionQueue queue = AdmissionQueue.create(2);
		List<Job> jobs = new ArrayList<>();
		List<Job> waiting = new ArrayList<>();
		long usedTokens = 0;
		for (int now = 0; now < 20_000; now += STEP_MILLIS) {
			boolean burst = now >= 5000 && now < 10_000;
			if (random.nextInt(1000) < STEP_MILLIS * (burst ? 14 : 7)) {
				Job job = new Job(now, random);
				job.ticket = queue.add(false, 1, bySize ? job.tokens : 0);
				jobs.add(job);
				waiting.add(job);
			}
			for (Job job : jobs) {
				if (job.startedAt >= 0 && job.startedAt + job.durationMillis <= now && !job.ended) {
					job.ended = true;
					usedTokens -= job.tokens;
				}
			}
			for (Job job : List.copyOf(waiting)) {
				if (bySize && !job.ticket.late() && now - job.arrivedAt > OBJECTIVE_MILLIS) {
					job.ticket = queue.markLate(job.ticket);
				}
				boolean fits = queue.mayReserve(job.ticket) && usedTokens + job.tokens <= MEMORY_TOKENS;
				if (fits) {
					job.startedAt = now;
					usedTokens += job.tokens;
				}
				if (fits || now - job.arrivedAt > QUEUE_TIMEOUT_MILLIS) {
					queue.remove(job.ticket);
					waiting.remove(job);
				}
			}
		}
		return jobs;
	}

	/**
	 * A generation.
	 *
	 * @author banyanstile contributors
	 */
	private static final class Job {

		private final int arrivedAt;

		private final long tokens;

		private final int durationMillis;

		private AdmissionQueue.Ticket ticket;

		private int startedAt = -1;

		private boolean ended;

		private Job(int arrivedAt, Random random) {
			this.arrivedAt = arrivedAt;
			int output = 100 + (int) (800 * -Math.log(1 - random.nextDouble() * 0.95));
			this.tokens = 1500 + random.nextInt(3500) + output;
			this.durationMillis = 300 + output * 5;
		}

	}

}
