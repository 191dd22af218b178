package org.banyanstile.core.placement;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link AdmissionLine}.
 *
 * @author banyanstile contributors
 */
class AdmissionQueueTests {

	private final AdmissionLine queue = AdmissionLine.create(1);

	@Test
	void smallRequestGoesBeforeALargeOne() {
		AdmissionLine.Ticket large = this.queue.join(false, 1, 6000);
		AdmissionLine.Ticket small = this.queue.join(false, 1, 2000);
		assertThat(this.queue.isTurn(small), is(true));
		assertThat(this.queue.isTurn(large), is(false));
	}

	@Test
	void moreUrgentRequestGoesFirst() {
		AdmissionLine.Ticket small = this.queue.join(false, 2, 10);
		AdmissionLine.Ticket urgent = this.queue.join(false, 1, 6000);
		assertThat(this.queue.isTurn(urgent), is(true));
		assertThat(this.queue.isTurn(small), is(false));
	}

	@Test
	void lateRequestGoesBehindThoseThatCanStillBeOnTime() {
		AdmissionLine.Ticket late = this.queue.fallBehind(this.queue.join(false, 1, 10));
		AdmissionLine.Ticket fresh = this.queue.join(false, 1, 6000);
		assertThat(this.queue.isTurn(fresh), is(true));
		this.queue.leave(fresh);
		assertThat(this.queue.isTurn(late), is(true));
	}

	@Test
	void lateRequestsKeepTheirOrder() {
		AdmissionLine.Ticket large = this.queue.join(true, 1, 6000);
		AdmissionLine.Ticket small = this.queue.join(true, 1, 10);
		assertThat(this.queue.isTurn(large), is(true));
		assertThat(this.queue.isTurn(small), is(false));
	}

}
