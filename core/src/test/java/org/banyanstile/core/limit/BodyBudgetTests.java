package org.banyanstile.core.limit;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests for {@link BodyBudget}.
 *
 * @author banyanstile contributors
 */
class BodyBudgetTests {

	private static final int CHUNK = 16 * 1024;

	private static final int SMALL = BodyBudget.SMALL_BYTES;

	private static final long CAPACITY = 64 * SMALL;

	private static final int SEEDS = 300;

	private final BodyBudget budget = BodyBudget.of(2 * CAPACITY);

	// Takes chunks until one does not fit.
	private static long fill(BodyBudget.Lease lease) {
		long held = 0;
		while (lease.tryAcquire(CHUNK)) {
			held += CHUNK;
		}
		return held;
	}

	@Test
	void anEndpointWithoutEndLeavesRoomForTheOthers() {
		assertThat(fill(this.budget.response("hog")), is(lessThanOrEqualTo(CAPACITY / 2)));
		assertThat(fill(this.budget.response("sound")), is(greaterThan(CAPACITY / 8)));
	}

	@Test
	void manyExchangesOfAnEndpointShareItsPart() {
		long held = 0;
		for (int i = 0; i < 300; i++) {
			held += fill(this.budget.response("hog"));
		}
		assertThat(held, is(lessThanOrEqualTo(CAPACITY / 2)));
		assertThat(this.budget.response("sound").tryAcquire(4L * SMALL), is(true));
	}

	@Test
	void endpointsWithoutEndLeaveRoomForSmallResponses() {
		BodyBudget usual = BodyBudget.forHeap(110_000_000);
		for (int i = 0; i < 1000; i++) {
			fill(usual.response("hog-" + i % 30));
		}
		assertThat(usual.response("sound").tryAcquire(CHUNK), is(true));
	}

	@Test
	void responsesTakeNothingFromRequests() {
		for (int i = 0; i < 1000; i++) {
			fill(this.budget.response("hog-" + i));
		}
		assertThat(this.budget.request().tryAcquire(this.budget.largestRequest()), is(true));
	}

	@Test
	void largeRequestsLeaveRoomForSmallOnes() {
		assertThat(this.budget.request().tryAcquire(this.budget.largestRequest()), is(true));
		assertThat(this.budget.request().tryAcquire(2 * SMALL), is(false));
		assertThat(this.budget.request().tryAcquire(SMALL), is(true));
	}

	@Test
	void aLargerRequestThanTheLargestNeverFits() {
		assertThat(this.budget.request().tryAcquire(this.budget.largestRequest() + 1), is(false));
	}

	@Test
	void aClosedLeaseHoldsNothing() {
		BodyBudget.Lease lease = this.budget.response("one");
		assertThat(lease.tryAcquire(3 * CHUNK), is(true));
		lease.release(CHUNK);
		assertThat(this.budget.responseBytes(), is(2L * CHUNK));
		assertThat(lease.tryResize(3 * CHUNK), is(true));
		assertThat(lease.tryResize(CHUNK), is(true));
		assertThat(this.budget.responseBytes(), is((long) CHUNK));
		lease.close();
		lease.close();
		assertThat(lease.tryAcquire(1), is(false));
		assertThat(this.budget.responseBytes(), is(0L));
	}

	@Test
	void randomUseStaysWithinTheBudgetAndComesBack() {
		for (int seed = 0; seed < SEEDS; seed++) {
			Random random = new Random(seed);
			BodyBudget tried = BodyBudget.of(2 * CAPACITY);
			List<BodyBudget.Lease> leases = new ArrayList<>();
			for (int step = 0; step < 400; step++) {
				if (leases.isEmpty() || random.nextInt(4) == 0) {
					leases
						.add(random.nextBoolean() ? tried.request() : tried.response("endpoint-" + random.nextInt(6)));
				}
				int index = random.nextInt(leases.size());
				switch (random.nextInt(5)) {
					case 0 -> leases.remove(index).close();
					case 1 -> leases.get(index).release(random.nextInt(2 * SMALL));
					default -> leases.get(index).tryAcquire(random.nextInt(8 * SMALL));
				}
				assertThat("seed " + seed, tried.requestBytes(), is(lessThanOrEqualTo(CAPACITY)));
				assertThat("seed " + seed, tried.responseBytes(), is(lessThanOrEqualTo(CAPACITY)));
			}
			leases.forEach(BodyBudget.Lease::close);
			assertThat("seed " + seed, tried.requestBytes() + tried.responseBytes(), is(0L));
		}
	}

	@Test
	void useByManyThreadsComesBack() {
		List<CompletableFuture<Void>> threads = new ArrayList<>();
		for (int i = 0; i < 4; i++) {
			String endpoint = "endpoint-" + i % 2;
			threads.add(CompletableFuture.runAsync(() -> {
				for (int n = 0; n < 2000; n++) {
					try (BodyBudget.Lease response = this.budget.response(endpoint);
							BodyBudget.Lease request = this.budget.request()) {
						response.tryAcquire(CHUNK);
						request.tryAcquire(n);
						assertThat(this.budget.responseBytes(), is(lessThanOrEqualTo(CAPACITY)));
					}
				}
			}));
		}
		threads.forEach(CompletableFuture::join);
		assertThat(this.budget.requestBytes() + this.budget.responseBytes(), is(0L));
	}

}
