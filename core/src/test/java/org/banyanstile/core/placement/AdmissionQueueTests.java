package org.banyanstile.core.placement;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link AdmissionQueue}.
 *
 * @author banyanstile contributors
 */
class AdmissionQueueTests {

	private final AdmissionQueue queue = AdmissionQueue.create(1);

	@Test
	void smallRequestGoesBeforeALargeOne() {
		AdmissionQueue.Ticket large = this.queue.add(false, 1, 6000);
		AdmissionQueue.Ticket small = this.queue.add(false, 1, 2000);
		assertThat(this.queue.mayReserve(small), is(true));
		assertThat(this.queue.mayReserve(large), is(false));
	}

	@Test
	void moreUrgentRequestGoesFirst() {
		AdmissionQueue.Ticket small = this.queue.add(false, 2, 10);
		AdmissionQueue.Ticket urgent = this.queue.add(false, 1, 6000);
		assertThat(this.queue.mayReserve(urgent), is(true));
		assertThat(this.queue.mayReserve(small), is(false));
	}

	@Test
	void lateRequestGoesBehindThoseThatCanStillBeOnTime() {
		AdmissionQueue.Ticket late = this.queue.markLate(this.queue.add(false, 1, 10));
		AdmissionQueue.Ticket fresh = this.queue.add(false, 1, 6000);
		assertThat(this.queue.mayReserve(fresh), is(true));
		this.queue.remove(fresh);
		assertThat(this.queue.mayReserve(late), is(true));
	}

	@Test
	void lateRequestsKeepTheirOrder() {
		AdmissionQueue.Ticket large = this.queue.add(true, 1, 6000);
		AdmissionQueue.Ticket small = this.queue.add(true, 1, 10);
		assertThat(this.queue.mayReserve(large), is(true));
		assertThat(this.queue.mayReserve(small), is(false));
	}

}
