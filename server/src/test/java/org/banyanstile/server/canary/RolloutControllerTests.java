package org.banyanstile.server.canary;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.banyanstile.core.canary.ExposureBounds;
import org.banyanstile.core.canary.RolloutOrder;
import org.banyanstile.core.canary.RolloutPhase;
import org.banyanstile.core.canary.RolloutStage;
import org.banyanstile.core.catalog.Catalog;
import org.banyanstile.core.catalog.EndpointRole;
import org.banyanstile.core.catalog.RegisteredEndpoint;
import org.banyanstile.core.placement.EndpointLoads;
import org.banyanstile.core.quarantine.TrialRow;
import org.banyanstile.core.quarantine.TrialWrite;
import org.banyanstile.core.replica.ReplicaRow;
import org.banyanstile.core.stream.ServedVersion;
import org.banyanstile.core.stream.StreamOrigin;
import org.banyanstile.server.router.DecisionLog;
import org.banyanstile.server.view.FleetTable;
import org.banyanstile.server.view.FleetView;
import org.banyanstile.server.view.RoleChangeOwnerRow;
import org.banyanstile.server.view.RolloutRow;
import org.banyanstile.server.view.RowDecoder;
import org.banyanstile.server.view.StreamWrite;
import org.banyanstile.server.view.TableRead;
import org.banyanstile.server.view.TableSource;
import org.banyanstile.server.view.TableSourceException;
import org.banyanstile.server.view.VmRow;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;

/**
 * @author banyanstile contributors
 */
class RolloutControllerTests {

	private static final DecisionLog LOG = DecisionLog.create();

	private final Store store = new Store();

	private long nanos = 1;

	@Test
	void withoutARolloutVersionsPlayNoRole() {
		Vm vm = new Vm(0);
		assertThat(vm.versions(false), contains("v1", "v2"));
		vm.controller.decideAll();
		assertThat(vm.rollouts.reports(), empty());
		assertThat(this.store.stage, nullValue());
	}

	@Test
	void newVersionGetsNothingBeforeTheStageIsKnown() {
		Vm vm = new Vm(1);
		vm.order(5);
		assertThat(vm.rollouts.assign("desk").isNew(), is(false));
		assertThat(vm.versions(true), contains("v1"));
		assertThat(vm.rollouts.isAllowed(endpoint("v2")), is(false));
	}

	@Test
	void vmThatStartsMidRolloutFollowsTheStoredStage() {
		Vm first = new Vm(0);
		first.order(5);
		first.controller.decideAll();
		Vm second = new Vm(1);
		second.order(5);
		second.controller.decideAll();
		assertThat(second.stage(), nullValue());
		advance(500);
		second.controller.decideAll();
		assertThat(second.stage(), is(this.store.stage));
		assertThat(second.versions(true), contains("v2"));
	}

	@Test
	void nextVmGoesOnAtTheStageOfADecidingVmThatWasKilled() {
		Vm first = new Vm(0);
		first.order(5);
		first.controller.decideAll();
		Vm second = new Vm(1);
		second.order(5);
		gossip(first, second);
		advance(1000);
		serve(second, 30, RunOutcome.ANSWERED);
		second.rank = 0;
		run(second, 12_000);
		assertThat(this.store.phases(),
				contains(RolloutPhase.SAMPLE, RolloutPhase.LOAD, RolloutPhase.FULL, RolloutPhase.COMPLETED));
		assertThat(second.versions(false), contains("v2"));
		assertThat(this.store.written.get(0).startMillis(), is(second.stage().startMillis()));
	}

	@Test
	void rollbackTakesEffectWhileTheStoreIsDownAndIsWrittenLater() {
		Vm vm = new Vm(0);
		vm.order(5);
		vm.controller.decideAll();
		serve(vm, 30, RunOutcome.FAILED);
		this.store.isDown = true;
		advance(1000);
		vm.controller.decideAll();
		assertThat(vm.stage().phase(), is(RolloutPhase.ROLLED_BACK));
		assertThat(vm.announced, is(2));
		assertThat(vm.versions(true), contains("v1"));
		assertThat(vm.rollouts.isAllowed(endpoint("v2")), is(false));
		this.store.isDown = false;
		run(vm, 1000);
		assertThat(this.store.phases(), contains(RolloutPhase.SAMPLE, RolloutPhase.ROLLED_BACK));
	}

	@Test
	void nothingIsCompletedWhileTheStoreIsDown() {
		Vm vm = new Vm(0);
		vm.order(5);
		vm.controller.decideAll();
		serve(vm, 30, RunOutcome.ANSWERED);
		this.store.isDown = true;
		run(vm, 13_000);
		assertThat(vm.stage().phase(), is(RolloutPhase.SAMPLE));
		assertThat(vm.rollouts.assign("desk").isNew(), is(false));
	}

	@Test
	void rowIsReadAgainWhenTheAnswerToAWriteIsLost() {
		Vm vm = new Vm(0);
		vm.order(5);
		this.store.losesAnswers = true;
		vm.controller.decideAll();
		assertThat(vm.stage(), nullValue());
		this.store.losesAnswers = false;
		run(vm, 500);
		assertThat(vm.stage(), notNullValue());
		assertThat(this.store.written, hasSize(1));
	}

	@Test
	void verdictOfAnotherVmIsNotOverwritten() {
		Vm first = new Vm(0);
		first.order(5);
		first.controller.decideAll();
		Vm second = new Vm(0);
		second.order(5);
		second.controller.decideAll();
		serve(second, 30, RunOutcome.FAILED);
		advance(100);
		second.controller.decideAll();
		serve(first, 30, RunOutcome.ANSWERED);
		run(first, 13_000);
		assertThat(this.store.phases(), contains(RolloutPhase.SAMPLE, RolloutPhase.ROLLED_BACK));
		assertThat(first.stage().phase(), is(RolloutPhase.ROLLED_BACK));
	}

	@Test
	void withdrawnRolloutLeavesTheNewVersionWithoutRequests() {
		Vm vm = new Vm(0);
		vm.order(5);
		vm.controller.decideAll();
		vm.view.replace(FleetTable.OPERATOR, new TableRead(List.of(), 100, millis()));
		assertThat(vm.versions(true), contains("v1"));
		vm.order(101);
		vm.controller.decideAll();
		advance(500);
		vm.controller.decideAll();
		assertThat(this.store.stage.order(), is(101L));
		assertThat(this.store.stage.phase(), is(RolloutPhase.SAMPLE));
	}

	private long millis() {
		return this.nanos / 1_000_000;
	}

	private void advance(long millis) {
		this.nanos += millis * 1_000_000;
	}

	private void run(Vm vm, long millis) {
		for (long passed = 0; passed < millis; passed += 100) {
			advance(100);
			vm.controller.decideAll();
		}
	}

	private static void gossip(Vm from, Vm to) {
		from.rollouts.reports().forEach((report) -> to.rollouts.received("other", 1, report));
	}

	// Serves requests at both versions, those at the new one with an outcome.
	private static void serve(Vm vm, int count, RunOutcome outcome) {
		for (int i = 0; i < count; i++) {
			vm.rollouts.assign("desk");
			vm.rollouts.ended(endpoint("v1"), "book", RunOutcome.ANSWERED, 20);
			vm.rollouts.sent(endpoint("v2"));
			vm.rollouts.ended(endpoint("v2"), "book", outcome, 20);
		}
	}

	private static RegisteredEndpoint endpoint(String version) {
		return new RegisteredEndpoint(version + "-1", "desk", "10.0.0.1:80", "dc1", EndpointRole.PLAIN, true, 6, 0, 0,
				version);
	}

	/**
	 * A VM with a view of its own.
	 *
	 * @author banyanstile contributors
	 */
	private final class Vm {

		private final FleetView view = FleetView.create(new TextDecoder(), () -> RolloutControllerTests.this.nanos,
				LOG);

		private final Rollouts rollouts = Rollouts.create(this.view, new EndpointLoads(),
				() -> RolloutControllerTests.this.nanos, LOG);

		private final RolloutController controller = new RolloutController(this.view, RolloutControllerTests.this.store,
				this.rollouts, () -> ExposureBounds.DEFAULT, () -> this.rank, Set::of, () -> this.announced++,
				() -> RolloutControllerTests.this.nanos, LOG);

		private int rank;

		private int announced;

		private Vm(int rank) {
			this.rank = rank;
			this.view.replace(FleetTable.ENDPOINTS,
					new TableRead(List.of(row("v1-1", 1, "v1"), row("v2-1", 2, "v2")), 3, millis()));
		}

		private void order(long version) {
			this.view.replace(FleetTable.OPERATOR,
					new TableRead(List.of(row("rollout/desk", version, "v2")), version, millis()));
		}

		private static ReplicaRow row(String key, long version, String text) {
			return new ReplicaRow(key, version, text.getBytes(StandardCharsets.UTF_8));
		}

		private @Nullable RolloutStage stage() {
			return this.rollouts.all().iterator().next().stage();
		}

		private List<String> versions(boolean isNew) {
			return this.rollouts.allowed("desk", List.of(endpoint("v1"), endpoint("v2")), VersionAssignment.of(isNew))
				.stream()
				.map(RegisteredEndpoint::version)
				.toList();
		}

	}

	/**
	 * Store that holds only the stage of one rollout.
	 *
	 * @author banyanstile contributors
	 */
	private static final class Store implements TableSource {

		private final List<RolloutStage> written = new ArrayList<>();

		private @Nullable RolloutStage stage;

		private long version;

		private boolean isDown;

		private boolean losesAnswers;

		private List<RolloutPhase> phases() {
			return this.written.stream().map(RolloutStage::phase).distinct().toList();
		}

		@Override
		public RolloutRow rollout(String service) throws TableSourceException {
			failIf(this.isDown);
			return new RolloutRow(this.version, this.stage);
		}

		@Override
		public long writeRollout(RolloutOrder order, RolloutStage next, long expectedVersion)
				throws TableSourceException {
			failIf(this.isDown);
			if (expectedVersion != this.version) {
				return -1;
			}
			this.version++;
			this.stage = next;
			this.written.add(next);
			failIf(this.losesAnswers);
			return this.version;
		}

		private static void failIf(boolean condition) throws TableSourceException {
			if (condition) {
				throw new TableSourceException("the store did not respond", null);
			}
		}

		@Override
		public long era() {
			return 0;
		}

		@Override
		public TableRead readAll(FleetTable table) {
			return new TableRead(List.of(), 0, 0);
		}

		@Override
		public TableRead changes(FleetTable table, long after, Duration wait) {
			return new TableRead(List.of(), 0, 0);
		}

		@Override
		public void register(String vm, String peerAddress) {
			// Registration is not part of these tests.
		}

		@Override
		public List<VmRow> registered() {
			return List.of();
		}

		@Override
		public void unregister(VmRow row) {
			// Registration is not part of these tests.
		}

		@Override
		public RoleChangeOwnerRow roleChangeOwner() {
			return new RoleChangeOwnerRow(0, "");
		}

		@Override
		public long writeRoleChangeOwner(String vm, long expectedVersion) {
			return -1;
		}

		@Override
		public TrialWrite writeTrials(List<TrialRow> rows) {
			return TrialWrite.ofRejected(rows);
		}

		@Override
		public void writeStreams(StreamWrite write) {
			// Streams are not part of these tests.
		}

		@Override
		public StreamOrigin streamOrigin(String attempt) {
			return null;
		}

		@Override
		public List<ServedVersion> servedVersions() {
			return List.of();
		}

		@Override
		public List<String> oldStreams(long minAgeMillis) {
			return List.of();
		}

	}

	/**
	 * Decodes rows that hold only a version.
	 *
	 * @author banyanstile contributors
	 */
	private static final class TextDecoder implements RowDecoder {

		@Override
		public boolean isCatalog(String key) {
			return false;
		}

		@Override
		public @Nullable String evacuatedDataCentre(String key) {
			return null;
		}

		@Override
		public boolean isRollout(String key) {
			return true;
		}

		@Override
		public RolloutOrder decodeRollout(String key, long version, byte[] value) {
			return new RolloutOrder("desk", new String(value, StandardCharsets.UTF_8), 12_000, version);
		}

		@Override
		public Catalog decodeCatalog(byte[] value) {
			return Catalog.of(1, List.of(), List.of(), Map.of(), false, 1);
		}

		@Override
		public RegisteredEndpoint decodeEndpoint(String id, byte[] value) {
			return endpoint(new String(value, StandardCharsets.UTF_8));
		}

	}

}
