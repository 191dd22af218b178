package org.banyanstile.core.placement;

import java.util.Random;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/**
 * Tests for {@link PromptReader}, alone and together with {@link RoleBalance} under the
 * load of a burst.
 *
 * @author banyanstile contributors
 */
class PromptReaderTests {

	private static final long PROMPT = 3200;

	/**
	 * Tokens that an engine reads in a millisecond.
	 */
	private static final double READ_PER_MILLI = 33.3;

	@Test
	void idlePrefillEngineReadsEveryPrompt() {
		assertThat(PromptReader.isReadApart(10, 0), is(true));
		assertThat(PromptReader.isReadApart(30_000, 0), is(true));
	}

	@Test
	void shortPromptDoesNotWaitBehindLongOnes() {
		assertThat(PromptReader.isReadApart(100, 20_000), is(false));
		assertThat(PromptReader.isReadApart(PROMPT, 5 * PROMPT), is(false));
	}

	@Test
	void shortQueueIsNoReasonToDisturbADecodeEngine() {
		assertThat(PromptReader.isReadApart(100, 500), is(true));
	}

	/**
	 * Six engines at twice the load of a calm day: callers get a place sooner than with
	 * two engines that only read prompts, and none waits for its prompt for long.
	 */
	@Test
	void oneOfSixEnginesForPromptsServesMoreOfABurst() {
		Burst few = Burst.play(RoleBalance.prefillTarget(6), true);
		Burst two = Burst.play(2, true);
		Burst waiting = Burst.play(RoleBalance.prefillTarget(6), false);
		assertThat(few.onTime, is(greaterThan(two.onTime)));
		assertThat(few.longestReadMillis, is(lessThan(900.0)));
		assertThat("without decode engines that read", waiting.onTime, is(lessThan(few.onTime)));
	}

	/**
	 * Plays 60 s of arrivals at 14 a second. A generation holds an eleventh of an
	 * engine's memory for four seconds; one that finds no place within half a second is
	 * late.
	 */
	private static final class Burst {

		private static final int PLACES = 11;

		private static final double HOLD_MILLIS = 4000;

		private static final double PATIENCE_MILLIS = 500;

		private static final double OBJECTIVE_MILLIS = 900;

		private int onTime;

		private double longestReadMillis;

		private static Burst play(int prefill, boolean selfRead) {
			Burst burst = new Burst();
			Random random = new Random(20261204);
			double[] readerFree = new double[prefill];
			double[] placeFree = new double[PLACES * (6 - prefill)];
			double now = 0;
			while (now < 60_000) {
				now += -Math.log(1 - random.nextDouble()) * 1000 / 14;
				int place = least(placeFree);
				double start = Math.max(now, placeFree[place]);
				if (start - now > PATIENCE_MILLIS) {
					continue;
				}
				int reader = least(readerFree);
				double queue = Math.max(0, readerFree[reader] - start) * READ_PER_MILLI;
				double read = 2 * PROMPT / READ_PER_MILLI;
				if (!selfRead || PromptReader.isReadApart(PROMPT, (long) queue)) {
					readerFree[reader] = Math.max(start, readerFree[reader]) + PROMPT / READ_PER_MILLI;
					read = readerFree[reader] - start;
				}
				placeFree[place] = start + read + HOLD_MILLIS;
				burst.longestReadMillis = Math.max(burst.longestReadMillis, read);
				burst.onTime += (start + read - now <= OBJECTIVE_MILLIS) ? 1 : 0;
			}
			return burst;
		}

		private static int least(double[] times) {
			int best = 0;
			for (int i = 1; i < times.length; i++) {
				best = (times[i] < times[best]) ? i : best;
			}
			return best;
		}

	}

}
