package org.banyanstile.core.limit;

import java.util.BitSet;
import java.util.List;
import java.util.Map;

import org.banyanstile.core.common.TeamId;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.instanceOf;

/**
 * Tests for {@link TeamLimits} and {@link TeamBucketOwner}.
 *
 * @author banyanstile contributors
 */
class TeamLimitsTests {

	private static final long MILLI = 1_000_000L;

	private static final TeamId TEAM = TeamId.of("team");

	private static final TeamLimit LIMIT = new TeamLimit(2000, 20_000);

	private static final int SLOTS = 16;

	private final TeamLimits limits = TeamLimits.create(SLOTS, 16);

	private final TeamBucketOwner owner = TeamBucketOwner.takeOver(SLOTS, 1, 0);

	TeamLimitsTests() {
		this.limits.configure(Map.of(TEAM, LIMIT));
		this.owner.configure(Map.of(TEAM, LIMIT), 0);
	}

	private void allSharesOwn(long now) {
		BitSet slots = new BitSet();
		slots.set(0, SLOTS);
		this.owner.unheld(slots, now, now);
	}

	private boolean request(long cost, long used, long now) {
		ReserveResult result = this.limits.reserve(TEAM, cost, now);
		if (result instanceof ReserveResult.GrantNeeded needed) {
			GrantReply reply = this.owner.grant(needed.request(), now);
			this.limits.grantReceived(TEAM, reply, now, now);
			result = this.limits.reserveAvailable(TEAM, cost, reply, now);
		}
		if (result instanceof ReserveResult.Reserved reserved) {
			this.limits.settle(reserved.reservation(), used);
			return true;
		}
		return false;
	}

	/**
	 * Guards against refusals within the rate: with a fixed share of rate/N for each VM,
	 * a team that uses one VM would get a sixteenth of its rate.
	 */
	@Test
	void teamOnOneVmIsServedWithinItsRate() {
		int refused = 0;
		double naiveLevel = LIMIT.burstTokens() / SLOTS;
		int naiveRefused = 0;
		for (long now = 0; now < 60_000 * MILLI; now += 250 * MILLI) {
			allSharesOwn(now);
			if (now > 5_000 * MILLI) {
				refused += request(475, 475, now) ? 0 : 1;
				naiveLevel = Math.min(LIMIT.burstTokens() / SLOTS, naiveLevel + 2000.0 / SLOTS / 4);
				naiveRefused += (naiveLevel < 475) ? 1 : 0;
				naiveLevel -= (naiveLevel < 475) ? 0 : 475;
			}
		}
		assertThat(refused, equalTo(0));
		assertThat(naiveRefused, greaterThan(100));
	}

	@Test
	void requestLargerThanTheBurstIsRefusedPermanently() {
		assertThat(this.limits.reserve(TEAM, 20_001, 0), instanceOf(ReserveResult.RefusedPermanently.class));
		assertThat(this.limits.reserve(TeamId.of("other"), 1, 0), instanceOf(ReserveResult.RefusedPermanently.class));
	}

	/**
	 * Guards against a retry time at which the retry fails again.
	 */
	@Test
	void retryTimeIsTheTimeAtWhichTheTokensAreAvailable() {
		for (long now = 0; now <= 6_000 * MILLI; now += 1_000 * MILLI) {
			allSharesOwn(now);
		}
		long now = 6_000 * MILLI;
		GrantReply reply = this.owner.grant(GrantRequest.of(TEAM, 10_000, 10_000), now);
		assertThat(reply.tokens(), equalTo(0L));
		long retry = now + reply.retryAfterNanos();
		assertThat((double) reply.retryAfterNanos(), closeTo(1.5e9, 1e7));
		allSharesOwn(retry);
		assertThat(this.owner.grant(GrantRequest.of(TEAM, 10_000, 10_000), retry).tokens(), equalTo(10_000L));
	}

	/**
	 * Guards against a new owner that grants tokens while grants of the previous owner
	 * are still valid.
	 */
	@Test
	void newOwnerGrantsNothingUntilOldGrantsHaveExpired() {
		allSharesOwn(0);
		long end = LimitTimes.GRANT_NANOS + LimitTimes.MARGIN_NANOS;
		assertThat(this.owner.grant(GrantRequest.of(TEAM, 1, 1), end - 1).tokens(), equalTo(0L));
		assertThat(this.owner.grant(GrantRequest.of(TEAM, 1, 1), end + 1).tokens(), equalTo(0L));
		assertThat(this.owner.grant(GrantRequest.of(TEAM, 1, 1), end + MILLI).tokens(), equalTo(1L));
	}

	/**
	 * Guards against a floor in use while the owner still counts the share as its own.
	 */
	@Test
	void floorStartsEmptyAfterTheLastPromiseAndGrant() {
		this.limits.slotAcquired(0);
		long promisedAt = 20_000 * MILLI;
		int partition = TeamLimits.partition(TEAM, 16);
		this.limits.promiseSent(partition, promisedAt);
		long usable = promisedAt + 5_500 * MILLI;
		assertThat(this.limits.areFloorsSuspended(partition, usable - 1), equalTo(true));
		assertThat(this.limits.reserveAvailable(TEAM, 1, null, usable), instanceOf(ReserveResult.Refused.class));
		assertThat(this.limits.reserveAvailable(TEAM, 125, null, usable + 1_000 * MILLI),
				instanceOf(ReserveResult.Reserved.class));
		assertThat(this.limits.reserveAvailable(TEAM, 2, null, usable + 1_000 * MILLI),
				instanceOf(ReserveResult.Refused.class));
	}

	/**
	 * Guards against the loss of the tokens that a request reserved but did not use: a
	 * team would be refused within its rate when responses are shorter than the maximum.
	 */
	@Test
	void unusedPartIsReturnedToTheOwner() {
		int refused = 0;
		for (long now = 0; now < 120_000 * MILLI; now += 500 * MILLI) {
			allSharesOwn(now);
			refused += (now < 30_000 * MILLI || request(4000, 900, now)) ? 0 : 1;
		}
		assertThat(refused, equalTo(0));
	}

	/**
	 * Guards against grants that count as spendable for their whole validity although
	 * they are spent: a team whose burst is below rate times validity would be refused
	 * within its rate.
	 */
	@Test
	void smallBurstStillAllowsTheWholeRate() {
		TeamLimit small = new TeamLimit(2000, 1000);
		this.limits.configure(Map.of(TEAM, small));
		this.owner.configure(Map.of(TEAM, small), 0);
		int refused = 0;
		for (long now = 0; now < 60_000 * MILLI; now += 100 * MILLI) {
			allSharesOwn(now);
			refused += (now < 10_000 * MILLI || request(190, 190, now)) ? 0 : 1;
		}
		assertThat(refused, equalTo(0));
	}

	private long level(long now) {
		GrantReply all = this.owner.grant(GrantRequest.of(TEAM, 20_001, 20_001), now);
		long level = 0;
		for (long step = 8192; all.tokens() == 0 && step > 0; step /= 2) {
			while (this.owner.grant(GrantRequest.of(TEAM, step, step), now).tokens() > 0) {
				level += step;
			}
		}
		return level;
	}

	/**
	 * Guards against a share that the owner spends while a VM uses its floor: the burst
	 * of shares without a promise is not the owner's.
	 */
	@Test
	void ownerDoesNotGrantTheBurstOfOtherShares() {
		BitSet half = new BitSet();
		half.set(0, SLOTS / 2);
		for (long now = 0; now <= 30_000 * MILLI; now += 1_000 * MILLI) {
			this.owner.unheld(half, now, now);
		}
		assertThat(level(30_000 * MILLI), equalTo(10_000L));
	}

	/**
	 * Guards against a promise whose time counts from its receipt: a paused owner reads
	 * it when the VM already uses its floor.
	 */
	@Test
	void promiseThatIsReadLateDoesNotCount() {
		this.owner.promised(1, 0, 4_000 * MILLI);
		assertThat(this.owner.ownShares(4_000 * MILLI), equalTo(0));
		this.owner.promised(1, 3_000 * MILLI, 4_000 * MILLI);
		assertThat(this.owner.ownShares(4_000 * MILLI), equalTo(1));
		assertThat(this.owner.ownShares(6_000 * MILLI), equalTo(0));
	}

	/**
	 * Guards against crediting returned tokens to a bucket that was full in the meantime,
	 * and against a refill for the time in which outstanding grants filled the bucket.
	 */
	@Test
	void fullBucketTakesNoReturns() {
		for (long now = 0; now <= 30_000 * MILLI; now += 1_000 * MILLI) {
			allSharesOwn(now);
		}
		GrantReply grant = this.owner.grant(GrantRequest.of(TEAM, 4_000, 4_000), 30_000 * MILLI);
		allSharesOwn(31_999 * MILLI);
		allSharesOwn(32_000 * MILLI);
		GrantRequest nothing = GrantRequest.of(TEAM, 0, 0);
		this.owner.grant(nothing, 32_000 * MILLI);
		allSharesOwn(34_000 * MILLI);
		this.owner.grant(nothing, 34_000 * MILLI);
		this.owner.grant(new GrantRequest(TEAM, 0, 0, 4_000, grant.issuedNanos(), 1, List.of()), 34_000 * MILLI);
		assertThat("full at the grant, refilled since its end", level(34_000 * MILLI), equalTo(20_000L));
		allSharesOwn(35_000 * MILLI);
		assertThat("all of it outstanding, so nothing is refilled", level(35_999 * MILLI), equalTo(0L));
		allSharesOwn(36_250 * MILLI);
		assertThat("refilled since the grants ended", (double) level(36_250 * MILLI), closeTo(500, 1));
	}

}
