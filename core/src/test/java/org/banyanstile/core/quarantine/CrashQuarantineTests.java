package org.banyanstile.core.quarantine;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import org.banyanstile.core.limit.FleetPosition;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests of the quarantine of requests that crash endpoints.
 *
 * @author banyanstile contributors
 */
class CrashQuarantineTests {

	private static final long BAD = 1;

	private static final long SHARED = 3;

	private static final int VMS = 8;

	private final CrashQuarantine quarantine = CrashQuarantine.create();

	private long now = TimeUnit.DAYS.toNanos(1);

	private long crashes;

	@Test
	void aPartIsQuarantinedAfterThreeCrashesOfRequestsThatAreOtherwiseDifferent() {
		for (int i = 0; i < CrashQuarantine.QUARANTINE_CRASHES; i++) {
			assertThat(isRefused(BAD, 100 + i), is(false));
			crash(BAD, 100 + i);
		}
		assertThat(isRefused(BAD, 200), is(true));
		assertThat(isRefused(201), is(false));
	}

	@Test
	void aCrashThatSeveralRequestsSawCountsOnce() {
		for (int i = 0; i < 10; i++) {
			this.quarantine.crashed(this, List.of(BAD, 100L + i), 7, this.now);
		}
		assertThat(isRefused(BAD, 200), is(false));
	}

	@Test
	void aPartOfAnsweredRequestsIsNotSuspectedBesideOneThatNeverWasAnswered() {
		this.quarantine.answered(List.of(SHARED), this.now);
		for (int i = 0; i < CrashQuarantine.MAX_CRASHES; i++) {
			crash(SHARED, BAD);
		}
		assertThat(isRefused(SHARED, 200), is(false));
		assertThat(isRefused(SHARED, BAD), is(true));
	}

	@Test
	void aPartThatBecomesHarmfulAfterAnswersIsQuarantined() {
		this.quarantine.answered(List.of(BAD), this.now);
		for (int i = 0; i < CrashQuarantine.QUARANTINE_CRASHES; i++) {
			crash(BAD, Traits.ofRequest(100 + 2 * i));
		}
		assertThat(isRefused(BAD, Traits.ofRequest(200)), is(true));
	}

	/**
	 * Guards against the refusal of sound requests that share a part with all of those
	 * that crash endpoints.
	 */
	@Test
	void aTrialClearsAPartThatOccurredOnlyBesideTheHarmfulOne() {
		for (int i = 0; i < CrashQuarantine.QUARANTINE_CRASHES; i++) {
			crash(SHARED, BAD);
		}
		assertThat(isRefused(SHARED, 200), is(true));
		this.now += CrashQuarantine.EXPLAINED_PAUSE_NANOS;
		assertThat(isRefused(SHARED, 201), is(false));
		assertThat(isRefused(SHARED, BAD, 202), is(true));
		this.quarantine.answered(List.of(SHARED, 201L), this.now);
		assertThat(isRefused(SHARED, 203), is(false));
		assertThat(isRefused(SHARED, BAD, 204), is(true));
	}

	@Test
	void aRequestThatIsRepeatedDoesNotExplainTheCrashesOfItsParts() {
		for (int i = 0; i < CrashQuarantine.QUARANTINE_CRASHES; i++) {
			crash(BAD, Traits.ofRequest(100));
		}
		this.now += CrashQuarantine.EXPLAINED_PAUSE_NANOS;
		assertThat(isRefused(BAD, Traits.ofRequest(200)), is(true));
	}

	@Test
	void oneTrialRunsAtATimeAndACrashOfItProlongsTheQuarantine() {
		for (int i = 0; i < CrashQuarantine.QUARANTINE_CRASHES; i++) {
			crash(BAD);
		}
		this.now += CrashQuarantine.FIRST_PAUSE_NANOS;
		Object trial = new Object();
		assertThat(refusedNanos(trial, BAD), is(0L));
		assertThat(refusedNanos(trial, BAD), is(0L));
		assertThat(isRefused(BAD), is(true));
		this.quarantine.crashed(trial, List.of(BAD), ++this.crashes, this.now);
		assertThat(refusedNanos(trial, BAD) > 0, is(true));
		this.now += CrashQuarantine.FIRST_PAUSE_NANOS;
		assertThat(isRefused(BAD), is(true));
		this.now += CrashQuarantine.SECOND_PAUSE_NANOS;
		assertThat(refusedNanos(new Object(), BAD), is(0L));
		crash(BAD);
		this.now += CrashQuarantine.FORGET_NANOS / 2;
		assertThat(isRefused(BAD), is(true));
	}

	@Test
	void aQuarantineAfterFiveCrashesLastsAsLongAsSuchRequestsCome() {
		for (int i = 0; i < CrashQuarantine.MAX_CRASHES; i++) {
			crash(BAD);
		}
		for (int i = 0; i < 10; i++) {
			this.now += CrashQuarantine.FORGET_NANOS / 2;
			assertThat(isRefused(BAD), is(true));
		}
		this.now += CrashQuarantine.FORGET_NANOS;
		assertThat(isRefused(BAD), is(false));
	}

	@Test
	void crashesSeenByDifferentVmsAddUpWhateverTheOrderOfTheMessages() {
		List<CrashQuarantine> vms = new ArrayList<>();
		for (int i = 0; i < CrashQuarantine.QUARANTINE_CRASHES; i++) {
			CrashQuarantine vm = CrashQuarantine.create();
			vm.crashed(vm, List.of(BAD), i, this.now);
			vms.add(vm);
		}
		Collections.shuffle(vms, new Random(5));
		for (CrashQuarantine vm : vms) {
			List<CrashEvidence> reports = vm.reports(this.now);
			this.quarantine.merge(reports, this.now);
			assertThat(this.quarantine.merge(reports, this.now), is(empty()));
		}
		assertThat(isRefused(BAD), is(true));
	}

	@Test
	void anAnswerSeenByOneVmClearsThePartOnTheOthers() {
		for (int i = 0; i < CrashQuarantine.QUARANTINE_CRASHES; i++) {
			crash(BAD);
		}
		CrashQuarantine other = CrashQuarantine.create();
		List<CrashEvidence> obsolete = this.quarantine.reports(this.now);
		other.merge(obsolete, this.now);
		other.answered(List.of(BAD), this.now);
		this.quarantine.merge(other.reports(this.now), this.now);
		assertThat(isRefused(BAD), is(false));
		this.quarantine.merge(obsolete, this.now);
		assertThat(isRefused(BAD), is(false));
	}

	@Test
	void memoryAndMessagesAreBoundedAndAFloodOfSuspectsDisplacesNoQuarantinedPart() {
		for (int i = 0; i < CrashQuarantine.MAX_CRASHES; i++) {
			crash(BAD);
		}
		for (long i = 0; i < 100_000; i++) {
			crash(1000 + i, 2_000_000 + i);
			this.quarantine.answered(List.of(3_000_000 + i), this.now);
		}
		assertThat(this.quarantine.reports(this.now), hasSize(lessThanOrEqualTo(CrashQuarantine.MAX_REPORTED)));
		assertThat(isRefused(BAD), is(true));
		this.now += CrashQuarantine.RECENT_NANOS;
		List<CrashEvidence> reports = this.quarantine.reports(this.now);
		assertThat(reports, hasSize(1));
		assertThat(reports.get(0).trait(), equalTo(BAD));
	}

	/**
	 * Plays fleets in which requests with the harmful part come at any VM, beside sound
	 * ones that share another part with them.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 1, 8, 60, 200 })
	void aFleetSendsNoMoreThanThreeSuchRequestsAfterTheFifthCrash(int vms) {
		for (int seed = 0; seed < 10; seed++) {
			FleetPlay play = new FleetPlay(vms, seed);
			play.run(TimeUnit.SECONDS.toNanos(120));
			assertThat("seed " + seed, play.lateArrivals, lessThanOrEqualTo(3));
			assertThat("seed " + seed, play.refusedSound, lessThanOrEqualTo(play.sound / 10));
			assertThat("seed " + seed, play.refusedHarmful, greaterThan(0));
		}
	}

	private boolean isRefused(long... traits) {
		Object call = new Object();
		boolean refused = refusedNanos(call, traits) > 0;
		this.quarantine.end(call);
		return refused;
	}

	private long refusedNanos(Object call, long... traits) {
		return this.quarantine.decide(call, list(traits), (key) -> new FleetPosition.Position(0, VMS), this.now)
			.refusedNanos();
	}

	private void crash(long... traits) {
		this.quarantine.crashed(this, list(traits), ++this.crashes, this.now);
	}

	private static List<Long> list(long... traits) {
		List<Long> list = new ArrayList<>();
		for (long trait : traits) {
			list.add(trait);
		}
		return list;
	}

	/**
	 * A fleet whose VMs send evidence to eight others in each gossip round. A request
	 * takes 400 ms until it crashes its endpoint or is answered.
	 */
	private static final class FleetPlay {

		private static final long STEP = TimeUnit.MILLISECONDS.toNanos(50);

		private static final int STEPS_PER_ROUND = 5;

		private static final int STEPS_PER_RUN = 8;

		private static final int STEPS_IN_CONTACT = 60;

		private final Random random;

		private final List<CrashQuarantine> vms = new ArrayList<>();

		private final TrialLock lock = TrialLock.of(new MemoryTrialRows());

		private final List<Running> running = new ArrayList<>();

		private long now = TimeUnit.DAYS.toNanos(1);

		private int step;

		private int requests;

		private int crashes;

		private int fifthCrashStep = Integer.MAX_VALUE - STEPS_IN_CONTACT;

		private int lateArrivals;

		private int sound;

		private int refusedSound;

		private int refusedHarmful;

		private FleetPlay(int vms, long seed) {
			this.random = new Random(seed);
			for (int i = 0; i < vms; i++) {
				this.vms.add(CrashQuarantine.create());
			}
		}

		private void run(long nanos) {
			for (this.step = 0; this.step < nanos / STEP; this.step++, this.now += STEP) {
				finishRequests();
				if (this.random.nextInt(8) == 0) {
					request(true);
				}
				request(false);
				if (this.step % STEPS_PER_ROUND == 0) {
					gossip();
				}
			}
		}

		private void request(boolean harmful) {
			int index = this.random.nextInt(this.vms.size());
			CrashQuarantine vm = this.vms.get(index);
			long own = Traits.ofRequest(1000 + 2L * this.requests++);
			List<Long> traits = harmful ? List.of(SHARED, BAD, own) : List.of(SHARED, own);
			Running call = new Running(vm, traits, harmful, this.step + STEPS_PER_RUN);
			this.sound += harmful ? 0 : 1;
			if (!maySend(vm, index, call)) {
				this.refusedSound += harmful ? 0 : 1;
				this.refusedHarmful += harmful ? 1 : 0;
				return;
			}
			this.lateArrivals += (harmful && this.step > this.fifthCrashStep + STEPS_IN_CONTACT) ? 1 : 0;
			this.running.add(call);
		}

		private boolean maySend(CrashQuarantine vm, int index, Running call) {
			FleetPosition position = (key) -> new FleetPosition.Position(
					Math.floorMod(key.hashCode() + index, this.vms.size()), this.vms.size());
			QuarantineDecision decision = vm.decide(call, call.traits(), position, this.now);
			if (!decision.isTrial()) {
				return !decision.isRefused();
			}
			try {
				boolean acquired = this.lock.tryAcquire(decision.claims());
				if (!acquired) {
					vm.denied(call, this.now);
				}
				return acquired;
			}
			catch (IOException ex) {
				throw new UncheckedIOException(ex);
			}
		}

		private void finishRequests() {
			this.running.removeIf((call) -> {
				if (call.endStep() > this.step) {
					return false;
				}
				if (call.harmful()) {
					call.vm().crashed(call, call.traits(), ++this.crashes, this.now);
					this.fifthCrashStep = (this.crashes == 5) ? this.step : this.fifthCrashStep;
				}
				else {
					call.vm().answered(call.traits(), this.now);
				}
				call.vm().end(call);
				return true;
			});
		}

		private void gossip() {
			for (CrashQuarantine vm : this.vms) {
				List<CrashEvidence> reports = vm.reports(this.now);
				for (int i = 0; i < Math.min(8, this.vms.size()); i++) {
					this.vms.get(this.random.nextInt(this.vms.size())).merge(reports, this.now);
				}
			}
		}

	}

	/**
	 * A request at an endpoint.
	 *
	 * @param vm the VM that sent it
	 * @param traits its traits
	 * @param harmful whether it crashes the endpoint
	 * @param endStep when it does, or is answered
	 * @author banyanstile contributors
	 */
	private record Running(CrashQuarantine vm, List<Long> traits, boolean harmful, int endStep) {

		@Override
		public boolean equals(Object other) {
			return this == other;
		}

		@Override
		public int hashCode() {
			return System.identityHashCode(this);
		}

	}

}
