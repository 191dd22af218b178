package org.banyanstile.core.placement;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link AdmissionLine}.
 *
 * @author banyanstile contributors
 */
class AdmissionLineTests {

	private final AdmissionLine line = AdmissionLine.create(1);

	@Test
	void smallRequestGoesBeforeALargeOne() {
		AdmissionLine.Ticket large = this.line.join(false, 1, 6000);
		AdmissionLine.Ticket small = this.line.join(false, 1, 2000);
		assertThat(this.line.isTurn(small), is(true));
		assertThat(this.line.isTurn(large), is(false));
	}

	@Test
	void moreUrgentRequestGoesFirst() {
		AdmissionLine.Ticket small = this.line.join(false, 2, 10);
		AdmissionLine.Ticket urgent = this.line.join(false, 1, 6000);
		assertThat(this.line.isTurn(urgent), is(true));
		assertThat(this.line.isTurn(small), is(false));
	}

	@Test
	void lateRequestGoesBehindThoseThatCanStillBeInTime() {
		AdmissionLine.Ticket late = this.line.fallBehind(this.line.join(false, 1, 10));
		AdmissionLine.Ticket fresh = this.line.join(false, 1, 6000);
		assertThat(this.line.isTurn(fresh), is(true));
		this.line.leave(fresh);
		assertThat(this.line.isTurn(late), is(true));
	}

	@Test
	void lateRequestsKeepTheirOrder() {
		AdmissionLine.Ticket large = this.line.join(true, 1, 6000);
		AdmissionLine.Ticket small = this.line.join(true, 1, 10);
		assertThat(this.line.isTurn(large), is(true));
		assertThat(this.line.isTurn(small), is(false));
	}

}
