package org.banyanstile.core.placement;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link EngineSpeeds}.
 *
 * @author banyanstile contributors
 */
class EngineSpeedsTests {

	private final EngineSpeeds speeds = new EngineSpeeds();

	@Test
	void promptsOfAllVmsAreAddedUp() {
		this.speeds.prefilled("e1", 3000, 0, 100);
		assertThat(this.speeds.table(0).isKnown("e1"), is(false));
		this.speeds.report("vm-2", List.of(new EngineSpeeds.Sample("e1", 3000, 200, 0, 0)), 0);
		EngineSpeeds.Table table = this.speeds.table(EngineSpeeds.MAX_AGE_NANOS / 2);
		assertThat(table.of("e1"), is(closeTo(20, 1e-9)));
	}

	@Test
	void queuedTokensCountAsWork() {
		this.speeds.prefilled("e1", 4000, 4000, 200);
		assertThat(this.speeds.table(0).of("e1"), is(closeTo(40, 1e-9)));
	}

	@Test
	void decodeEnginesAreComparedByTheirPace() {
		this.speeds.prefilled("e1", 8000, 0, 200);
		this.speeds.streamed("e2", 300, 3000);
		this.speeds.streamed("e3", 300, 6000);
		this.speeds.streamed("e4", 300, 3000);
		EngineSpeeds.Table table = this.speeds.table(0);
		assertThat(table.of("e2"), is(closeTo(40, 1e-9)));
		assertThat(table.of("e3"), is(closeTo(20, 1e-9)));
		assertThat(table.of("unknown"), is(closeTo(40, 1e-9)));
	}

	@Test
	void engineThatBecomesSlowerIsNoticed() {
		for (int i = 0; i < 100; i++) {
			this.speeds.prefilled("e1", 4000, 0, 100);
		}
		for (int i = 0; i < 20; i++) {
			this.speeds.prefilled("e1", 4000, 0, 400);
		}
		assertThat(this.speeds.table(0).of("e1"), is(closeTo(10, 3)));
	}

	@Test
	void reportsTakeTurns() {
		for (int i = 0; i < 20; i++) {
			this.speeds.streamed("e" + i, 10, 100);
		}
		Set<String> reported = new HashSet<>();
		for (int i = 0; i < 3; i++) {
			this.speeds.own().forEach((sample) -> reported.add(sample.engine()));
		}
		assertThat(reported, hasSize(20));
	}

}
