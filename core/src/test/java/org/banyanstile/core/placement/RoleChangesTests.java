package org.banyanstile.core.placement;

import java.util.List;
import java.util.Random;

import org.banyanstile.core.catalog.EndpointRole;
import org.banyanstile.core.catalog.RegisteredEndpoint;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link RoleChanges}.
 *
 * @author banyanstile contributors
 */
class RoleChangesTests {

	private static final long SECOND = 1_000_000_000L;

	private final RoleChanges changes = new RoleChanges();

	private static RegisteredEndpoint engine(EndpointRole role) {
		return new RegisteredEndpoint("e1", "llm", "10.0.0.1:80", "dc1", role, true, 64, 0, 0, "");
	}

	@Test
	void engineTakesNoWorkUntilItsRegisteredRoleIsTheNewOne() {
		this.changes.begin("e1", EndpointRole.PREFILL, 10 * SECOND);
		assertThat(this.changes.isChanging(engine(EndpointRole.DECODE), 6 * SECOND), is(true));
		assertThat(this.changes.isChanging(engine(EndpointRole.PREFILL), 6 * SECOND), is(false));
	}

	@Test
	void orderThatIsNeverCarriedOutCountsAsLost() {
		this.changes.begin("e1", EndpointRole.PREFILL, 10 * SECOND);
		assertThat(this.changes.isChanging(engine(EndpointRole.DECODE), 10 * SECOND), is(false));
		assertThat(this.changes.pending(10 * SECOND), is(empty()));
	}

	@Test
	void otherVmsLearnOfAChange() {
		this.changes.begin("e1", EndpointRole.PREFILL, 10 * SECOND);
		RoleChanges other = new RoleChanges();
		other.report(this.changes.pending(4 * SECOND), 100 * SECOND);
		assertThat(other.isChanging(engine(EndpointRole.DECODE), 105 * SECOND), is(true));
		assertThat(other.isChanging(engine(EndpointRole.DECODE), 106 * SECOND), is(false));
	}

	/**
	 * Guards against a change that never expires because each VM learns it again from
	 * another VM that learned it later.
	 */
	@Test
	void changeEndsOnAllVmsAlthoughTheyReportItToEachOther() {
		for (int seed = 0; seed < 200; seed++) {
			Random random = new Random(seed);
			List<RoleChanges> vms = List.of(new RoleChanges(), new RoleChanges(), new RoleChanges(), new RoleChanges());
			vms.get(0).begin("e1", EndpointRole.PREFILL, 5 * SECOND);
			long now = 0;
			while (now < 8 * SECOND) {
				List<RoleChanges.Report> reports = vms.get(random.nextInt(4)).pending(now);
				now += random.nextInt(40_000_000);
				vms.get(random.nextInt(4)).report(reports, now);
			}
			for (RoleChanges vm : vms) {
				assertThat("seed " + seed, vm.isChanging(engine(EndpointRole.DECODE), now), is(false));
			}
		}
	}

}
