package org.banyanstile.core.attempt;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class ResponseBindingTests {

	@Test
	void refusalWithTheIdOfTheRequestIsProof() {
		assertThat(ResponseBinding.provesRefusal("a", "a", true), is(true));
		assertThat(ResponseBinding.provesRefusal("a", "a", false), is(true));
	}

	@Test
	void refusalWithTheIdOfAnotherRequestIsNoProof() {
		assertThat(ResponseBinding.provesRefusal("a", "b", true), is(false));
		assertThat(ResponseBinding.provesRefusal("a", "b", false), is(false));
		assertThat(ResponseBinding.provesRefusal(null, "b", true), is(false));
	}

	@Test
	void refusalWithoutAnIdIsProofOnlyAsTheFirstExchangeOfItsConnection() {
		assertThat(ResponseBinding.provesRefusal("a", null, true), is(true));
		assertThat(ResponseBinding.provesRefusal("a", null, false), is(false));
		assertThat(ResponseBinding.provesRefusal(null, null, false), is(false));
	}

}
