package org.banyanstile.core.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

import org.banyanstile.core.common.VmId;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

/**
 * Random interleavings in virtual time: commits while VMs are frozen, isolated,
 * restarted, or read old rows. Guards against a version that counts as accepted while a
 * VM serves an earlier one.
 *
 * @author banyanstile contributors
 */
class RolloutRandomTests {

	private static final long MILLI = 1_000_000L;

	private static final int SEEDS = 300;

	private static final int VMS = 5;

	@Test
	void noVmServesAnEarlierVersionThanAnAcceptedOne() {
		int accepted = 0;
		for (int seed = 1; seed <= SEEDS; seed++) {
			Fleet fleet = new Fleet(seed);
			fleet.run();
			assertThat("seed " + seed + ": " + fleet.violation, fleet.violation, is(""));
			accepted += fleet.acceptances;
		}
		assertThat("versions accepted", accepted, is(greaterThan(SEEDS)));
	}

	/**
	 * Scheduled action.
	 */
	private record Event(long at, Runnable action) {

	}

	/**
	 * A VM and the state of its current process.
	 */
	private static final class Vm {

		private final VmId id;

		private VersionHolder<String> holder = VersionHolder.create();

		private Freshness freshness = Freshness.create();

		private AcceptanceTracker tracker = AcceptanceTracker.create();

		private int process;

		private long frozenUntil;

		private long isolatedUntil;

		private boolean registered;

		private long acceptedVersion;

		private Vm(int n) {
			this.id = VmId.of("vm" + n);
		}

	}

	/**
	 * The fleet and the store.
	 */
	private static final class Fleet {

		private final Random random;

		private final PriorityQueue<Event> events = new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));

		private final List<Vm> vms = new ArrayList<>();

		private final List<Long> commits = new ArrayList<>(List.of(0L));

		private final Map<VmId, Long> reported = new HashMap<>();

		private final Map<VmId, Long> reportedAt = new HashMap<>();

		private Set<VmId> scanned = new HashSet<>();

		private long scannedAt;

		private long now;

		private int acceptances;

		private String violation = "";

		private Fleet(int seed) {
			this.random = new Random(seed);
			for (int i = 0; i < VMS; i++) {
				this.vms.add(new Vm(i));
				start(this.vms.get(i));
			}
		}

		private void in(long millis, Runnable action) {
			this.events.add(new Event(this.now + millis * MILLI, action));
		}

		private long upTo(int millis) {
			return this.random.nextInt(millis + 1);
		}

		private void start(Vm vm) {
			vm.holder = VersionHolder.create();
			vm.freshness = Freshness.create();
			vm.tracker = AcceptanceTracker.create();
			vm.registered = false;
			int process = ++vm.process;
			in(upTo(3000), () -> register(vm, process));
			poll(vm, process);
		}

		private void register(Vm vm, int process) {
			if (vm.process == process) {
				vm.registered = true;
				in(upTo(200), () -> whenRunning(vm, process, () -> vm.freshness.registered(this.now)));
			}
		}

		private void whenRunning(Vm vm, int process, Runnable action) {
			if (vm.process != process) {
				return;
			}
			if (vm.frozenUntil > this.now) {
				this.events.add(new Event(vm.frozenUntil, () -> whenRunning(vm, process, action)));
				return;
			}
			action.run();
		}

		private void poll(Vm vm, int process) {
			long sentAt = this.now;
			if (vm.isolatedUntil <= this.now) {
				in(upTo(20), () -> {
					long head = this.commits.size();
					in(upTo((this.random.nextInt(4) == 0) ? 6000 : 20),
							() -> whenRunning(vm, process, () -> read(vm, process, head, sentAt)));
				});
			}
			in(1000, () -> whenRunning(vm, process, () -> poll(vm, process)));
		}

		private void read(Vm vm, int process, long head, long sentAt) {
			if (vm.freshness.read(head, sentAt) == HeadRead.BEHIND && vm.isolatedUntil <= this.now) {
				vm.tracker.committed(head, this.now);
				in(upTo(500), () -> whenRunning(vm, process, () -> apply(vm, head)));
			}
		}

		private void apply(Vm vm, long version) {
			vm.holder.apply(version, "");
			vm.freshness.applied(vm.holder.version());
			vm.tracker.committed(vm.holder.version(), this.now);
		}

		private void injectFault() {
			Vm vm = this.vms.get(this.random.nextInt(VMS));
			int kind = this.random.nextInt(4);
			long until = this.now + upTo(12_000) * MILLI;
			if (kind == 0) {
				vm.frozenUntil = until;
			}
			else if (kind == 1) {
				vm.isolatedUntil = until;
			}
			else if (kind == 2) {
				start(vm);
			}
			else {
				commit();
			}
			in(upTo(2500), this::injectFault);
		}

		private void commit() {
			this.commits.add(this.now);
			long version = this.commits.size();
			for (Vm vm : this.vms) {
				int process = vm.process;
				if (vm.isolatedUntil <= this.now && this.random.nextInt(10) < 8) {
					in(upTo(100), () -> whenRunning(vm, process, () -> apply(vm, version)));
				}
			}
		}

		private void scan() {
			long at = this.now;
			Set<VmId> registered = new HashSet<>();
			this.vms.stream().filter((vm) -> vm.registered).forEach((vm) -> registered.add(vm.id));
			in(upTo(300), () -> {
				this.scanned = registered;
				this.scannedAt = at;
			});
			in(2000, this::scan);
		}

		private void observe() {
			for (Vm vm : this.vms) {
				if (vm.frozenUntil <= this.now && vm.isolatedUntil <= this.now) {
					this.reported.put(vm.id, vm.holder.version());
					this.reportedAt.put(vm.id, this.now);
				}
				else if (this.now - this.reportedAt.getOrDefault(vm.id, 0L) > 2000 * MILLI) {
					this.reported.remove(vm.id);
				}
			}
			this.vms.stream().filter((vm) -> vm.frozenUntil <= this.now).forEach(this::evaluate);
			in(100, this::observe);
		}

		private void evaluate(Vm vm) {
			RolloutProgress progress = vm.tracker.evaluate(this.scanned, this.scannedAt, this.reported, this.now);
			if (progress.accepted() && progress.version() > vm.acceptedVersion) {
				vm.acceptedVersion = progress.version();
				this.acceptances++;
			}
		}

		private void check() {
			long accepted = this.vms.stream().mapToLong((vm) -> vm.acceptedVersion).max().orElse(0);
			for (Vm vm : this.vms) {
				boolean serves = vm.frozenUntil <= this.now && vm.freshness.isFresh(this.now);
				if (serves && vm.holder.version() < accepted && this.violation.isEmpty()) {
					this.violation = vm.id + " serves " + vm.holder.version() + " after " + accepted
							+ " was accepted, at " + this.now / MILLI + " ms";
				}
			}
		}

		private void run() {
			in(0, this::scan);
			in(0, this::observe);
			in(5000, this::injectFault);
			while (this.now < 120_000 * MILLI && this.violation.isEmpty()) {
				Event event = this.events.remove();
				this.now = event.at;
				event.action.run();
				check();
			}
		}

	}

}
