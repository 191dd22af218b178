package org.banyanstile.core.placement;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

/**
 * Tests for {@link FleetWork}.
 *
 * @author banyanstile contributors
 */
class FleetWorkTests {

	private static final long SECOND = 1_000_000_000L;

	private final FleetWork work = new FleetWork();

	// Reports half an engine of prefill and 1000 tokens of memory in each second.
	private void report(String vm, int fromSecond, int toSecond) {
		for (int i = fromSecond; i <= toSecond; i++) {
			int seconds = i - fromSecond;
			this.work.report(vm, List.of(new FleetWork.Work("llm", 500L * seconds, 1_000_000L * seconds)), i * SECOND);
		}
	}

	@Test
	void ratesOfAllVmsAddUp() {
		report("vm-1", 0, 15);
		report("vm-2", 0, 15);
		RoleDemand demand = this.work.demand("llm", 15 * SECOND);
		assertThat(demand.prefillEngines(), is(closeTo(1, 1e-6)));
		assertThat(demand.memoryTokens(), is(closeTo(2000, 1e-6)));
	}

	@Test
	void demandIsUnknownAtFirst() {
		report("vm-1", 0, 9);
		assertThat(this.work.demand("llm", 9 * SECOND), is(nullValue()));
	}

	@Test
	void vmThatStartsAgainOrFallsSilentDoesNotLowerTheRate() {
		report("vm-1", 0, 30);
		report("vm-2", 0, 12);
		report("vm-3", 0, 12);
		report("vm-3", 13, 30);
		assertThat(this.work.demand("llm", 30 * SECOND).prefillEngines(), is(closeTo(1, 1e-6)));
	}

	@Test
	void ownWorkIsCounted() {
		this.work.prefilled("llm", 120);
		this.work.needed("llm", 4000, 50);
		assertThat(this.work.own(), is(List.of(new FleetWork.Work("llm", 120, 200_000))));
	}

}
