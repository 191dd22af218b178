package org.banyanstile.core.placement;

import java.util.Map;

import org.banyanstile.core.catalog.EndpointRole;
import org.banyanstile.core.catalog.RegisteredEndpoint;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link AbsentEngines}.
 *
 * @author banyanstile contributors
 */
class AbsentEnginesTests {

	private final AbsentEngines absent = new AbsentEngines();

	private static RegisteredEndpoint engine(String id, String address, boolean ready) {
		return new RegisteredEndpoint(id, "llm", address, "dc1", EndpointRole.DECODE, ready, 64, 0, 0, "");
	}

	@Test
	void crashedEngineIsExpectedBackForSomeSeconds() {
		RegisteredEndpoint one = engine("one", "10.0.0.1:80", true);
		this.absent.update(Map.of("one", one), 0);
		assertThat(this.absent.update(Map.of(), 1), contains(one));
		assertThat(this.absent.update(Map.of(), AbsentEngines.MAX_ABSENCE_NANOS), contains(one));
		assertThat(this.absent.update(Map.of(), 2 + AbsentEngines.MAX_ABSENCE_NANOS), is(empty()));
	}

	@Test
	void engineThatDrainedIsNotExpectedBack() {
		this.absent.update(Map.of("one", engine("one", "10.0.0.1:80", false)), 0);
		assertThat(this.absent.update(Map.of(), 1), is(empty()));
	}

	@Test
	void engineIsBackUnderAnotherIdAtItsAddress() {
		this.absent.update(Map.of("one", engine("one", "10.0.0.1:80", true)), 0);
		this.absent.update(Map.of(), 1);
		assertThat(this.absent.update(Map.of("two", engine("two", "10.0.0.1:80", true)), 2), is(empty()));
	}

}
