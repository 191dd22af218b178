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
 * Plays a burst that needs almost twice the decode memory there is, and checks what
 * callers get from {@link AdmissionLine} and from a line in order of arrival.
 *
 * @author banyanstile contributors
 */
class AdmissionLoadTests {

	private static final long MEMORY_TOKENS = 4 * 42_000;

	private static final int OBJECTIVE_MILLIS = 550;

	private static final int PATIENCE_MILLIS = 2550;

	private static final int STEP_MILLIS = 10;

	@Test
	void moreCallersAreInTimeThanInOrderOfArrival() {
		int line = 0;
		int arrival = 0;
		for (int seed = 0; seed < 20; seed++) {
			line += inTime(play(seed, true));
			arrival += inTime(play(seed, false));
		}
		assertThat(line, is(greaterThan(arrival)));
	}

	@Test
	void largestTenthIsServedAtLeastHalfAsOftenAsAll() {
		for (int seed = 0; seed < 20; seed++) {
			List<Job> jobs = play(seed, true);
			List<Job> largest = jobs.stream()
				.sorted(Comparator.comparingLong((Job job) -> -job.tokens))
				.limit(jobs.size() / 10)
				.toList();
			assertThat("seed " + seed, served(largest), is(greaterThanOrEqualTo(served(jobs) / 2)));
		}
	}

	private static int inTime(List<Job> jobs) {
		return (int) jobs.stream()
			.filter((job) -> job.began >= 0 && job.began - job.arrived <= OBJECTIVE_MILLIS)
			.count();
	}

	private static double served(List<Job> jobs) {
		return jobs.stream().filter((job) -> job.began >= 0).count() / (double) jobs.size();
	}

	private static List<Job> play(int seed, boolean bySize) {
		Random random = new Random(seed);
		AdmissionLine line = AdmissionLine.create(2);
		List<Job> jobs = new ArrayList<>();
		List<Job> waiting = new ArrayList<>();
		long used = 0;
		for (int now = 0; now < 20_000; now += STEP_MILLIS) {
			boolean burst = now >= 5000 && now < 10_000;
			if (random.nextInt(1000) < STEP_MILLIS * (burst ? 14 : 7)) {
				Job job = new Job(now, random);
				job.ticket = line.join(false, 1, bySize ? job.tokens : 0);
				jobs.add(job);
				waiting.add(job);
			}
			for (Job job : jobs) {
				if (job.began >= 0 && job.began + job.millis <= now && !job.ended) {
					job.ended = true;
					used -= job.tokens;
				}
			}
			for (Job job : List.copyOf(waiting)) {
				if (bySize && !job.ticket.late() && now - job.arrived > OBJECTIVE_MILLIS) {
					job.ticket = line.fallBehind(job.ticket);
				}
				boolean fits = line.isTurn(job.ticket) && used + job.tokens <= MEMORY_TOKENS;
				if (fits) {
					job.began = now;
					used += job.tokens;
				}
				if (fits || now - job.arrived > PATIENCE_MILLIS) {
					line.leave(job.ticket);
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

		private final int arrived;

		private final long tokens;

		private final int millis;

		private AdmissionLine.Ticket ticket;

		private int began = -1;

		private boolean ended;

		private Job(int arrived, Random random) {
			this.arrived = arrived;
			int output = 100 + (int) (800 * -Math.log(1 - random.nextDouble() * 0.95));
			this.tokens = 1500 + random.nextInt(3500) + output;
			this.millis = 300 + output * 5;
		}

	}

}
