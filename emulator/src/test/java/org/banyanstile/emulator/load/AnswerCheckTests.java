package org.banyanstile.emulator.load;

import org.banyanstile.emulator.engine.EngineText;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;

/**
 * Tests for {@link AnswerCheck}: a check that accepted a damaged response would hide the
 * faults that the process tests look for.
 *
 * @author banyanstile contributors
 */
class AnswerCheckTests {

	private final TextRequest request = new TextRequest("a b c", 3);

	private final AnswerCheck check = new AnswerCheck(this.request);

	private void accept(int offset) {
		this.check.accept(offset, EngineText.word(EngineText.digest(this.request.prompt()), offset) + " ");
	}

	@Test
	void acceptsTheWholeAnswer() {
		accept(0);
		accept(1);
		accept(2);
		this.check.end();
		assertThat(this.check.fault(), is(nullValue()));
	}

	@Test
	void findsAGap() {
		accept(0);
		accept(2);
		assertThat(this.check.fault(), is(notNullValue()));
	}

	@Test
	void findsADuplicate() {
		accept(0);
		accept(0);
		assertThat(this.check.fault(), is(notNullValue()));
	}

	@Test
	void findsAWordOfAnotherRequest() {
		this.check.accept(0, EngineText.word(EngineText.digest("d e f"), 0));
		assertThat(this.check.fault(), is(notNullValue()));
	}

	@Test
	void findsATruncatedAnswer() {
		accept(0);
		this.check.end();
		assertThat(this.check.fault(), is(notNullValue()));
	}

	@Test
	void readsTypedRefusals() {
		Refusal refusal = Refusal.parse(429,
				"{\"error\":{\"type\":\"rate_limited\",\"run\":\"not_run\",\"retryAfterMillis\":250}}");
		assertThat(refusal.isRetryable(), is(true));
		assertThat(Refusal.parse(429, "{\"error\":{\"type\":\"rate_limited\"}}").isRetryable(), is(false));
		assertThat(Refusal.parse(502, "no JSON").type(), is("status_502"));
	}

}
