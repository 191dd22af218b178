package org.banyanstile.core.quarantine;

import java.io.IOException;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Tests of the lock of trials.
 *
 * @author banyanstile contributors
 */
class TrialLockTests {

	private final MemoryTrialRows rows = new MemoryTrialRows();

	private final TrialLock lock = TrialLock.of(this.rows);

	@Test
	void oneOfTwoEqualClaimsIsAcquired() throws Exception {
		assertThat(this.lock.tryAcquire(List.of(claim(1, 3, 0))), is(true));
		assertThat(this.lock.tryAcquire(List.of(claim(1, 3, 0))), is(false));
	}

	@Test
	void aTrialAfterAnotherCrashOrInAnotherTurnIsAClaimOfItsOwn() throws Exception {
		this.lock.tryAcquire(List.of(claim(1, 3, 0)));
		assertThat(this.lock.tryAcquire(List.of(claim(1, 3, 1))), is(true));
		assertThat(this.lock.tryAcquire(List.of(claim(1, 4, 0))), is(true));
	}

	/**
	 * Guards against trials of two requests that have one of their quarantined traits in
	 * common.
	 */
	@Test
	void aTrialIsDeniedIfOneOfItsTraitsIsClaimed() throws Exception {
		this.lock.tryAcquire(List.of(claim(1, 3, 0)));
		assertThat(this.lock.tryAcquire(List.of(claim(1, 3, 0), claim(2, 3, 0))), is(false));
		assertThat(this.lock.tryAcquire(List.of(claim(2, 3, 0))), is(true));
	}

	@Test
	void aClaimThatWasGivenUpCanBeAcquiredAgain() throws Exception {
		this.lock.tryAcquire(List.of(claim(1, 3, 0), claim(2, 3, 0)));
		this.lock.release(List.of(claim(1, 3, 0), claim(2, 3, 0)));
		assertThat(this.lock.tryAcquire(List.of(claim(1, 3, 0), claim(2, 3, 0))), is(true));
	}

	@Test
	void anObsoleteReleaseDoesNotGiveUpALaterClaim() throws Exception {
		this.lock.tryAcquire(List.of(claim(1, 3, 0)));
		this.lock.tryAcquire(List.of(claim(1, 4, 0)));
		this.lock.release(List.of(claim(1, 3, 0)));
		assertThat(this.lock.tryAcquire(List.of(claim(1, 4, 0))), is(false));
	}

	@Test
	void aReleaseOfAnUnknownClaimLeavesItFree() throws Exception {
		this.lock.release(List.of(claim(1, 3, 0)));
		assertThat(this.lock.tryAcquire(List.of(claim(1, 3, 0))), is(true));
	}

	@Test
	void aLostResponseDeniesTheTrialToAllVms() throws Exception {
		this.rows.setLosesResponses(true);
		assertThrows(IOException.class, () -> this.lock.tryAcquire(List.of(claim(1, 3, 0))));
		this.rows.setLosesResponses(false);
		assertThat(this.lock.tryAcquire(List.of(claim(1, 3, 0))), is(false));
	}

	@Test
	void aRejectionWithoutRowsDeniesTheTrial() throws Exception {
		TrialLock rejecting = TrialLock.of((written) -> TrialWrite.ofRejected(List.of()));
		assertThat(rejecting.tryAcquire(List.of(claim(1, 3, 0))), is(false));
	}

	@Test
	void claimsToAnyNumberOfTraitsTakeABoundedNumberOfRows() throws Exception {
		for (long trait = 0; trait < 10_000; trait++) {
			assertThat(this.lock.tryAcquire(List.of(claim(trait * 7919, 3, 0))), is(true));
		}
		assertThat(this.rows.size(), lessThanOrEqualTo(1024));
	}

	private static TrialClaim claim(long trait, int crashes, long turn) {
		return new TrialClaim(trait, 0, crashes, turn, 0);
	}

	/**
	 * Guards against a trial whose equal claim the store has lost.
	 */
	@Test
	void aTurnThatBeganBeforeTheEraOfTheStoreWasKnownHasNoTrial() throws Exception {
		TrialLock known = TrialLock.of(this.rows, new KnownEra(0, 5));
		assertThat(known.tryAcquire(List.of(new TrialClaim(1, 0, 3, 0, 5))), is(false));
		assertThat(known.tryAcquire(List.of(claim(2, 3, 0), new TrialClaim(1, 0, 3, 0, 6))), is(false));
		assertThat(known.tryAcquire(List.of(new TrialClaim(1, 0, 3, 0, 4))), is(true));
	}

	@Test
	void aClaimInAnEraThatIsNotKnownYetIsNoTrial() throws Exception {
		assertThat(TrialLock.of(this.rows, new KnownEra(-1, 5)).tryAcquire(List.of(claim(1, 3, 0))), is(false));
		TrialLock later = TrialLock.of((written) -> TrialWrite.ofApplied(2), new KnownEra(1, 5));
		assertThat(later.tryAcquire(List.of(claim(1, 3, 0))), is(false));
	}

	/**
	 * Era that a VM has known for some time.
	 *
	 * @author banyanstile contributors
	 */
	private record KnownEra(long number, long knownNanos) implements StoreEra {

	}

}
