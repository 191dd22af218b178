import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The runners of a service are replaced one after the other, and some never report
 * draining. Meanwhile
 * machines are replaced, one at a time, by new ones at other addresses, which is
 * planned too. The machine that reads the store for the others is partitioned from the store.
 */
final class LeftRunnerCase {

	private static final long DRAIN_MILLIS = 2000;

	private static final long CONTACT_MILLIS = 3000;

	/** "A little longer (at times many seconds)". */
	private static final long LINGER_MILLIS = 6000;

	private static final int MACHINES = 8;

	/** One at a time. */
	private static final int REPLACED_MACHINES = 3;

	private static final long CUT_MILLIS = 5500;

	private static final String[] SERVICES = { "desk", "cards", "stock", "mail" };

	private static final String[] PATHS = { "/book/", "/charge/", "/keep/", "/send/" };

	private static final int RUNNERS = 8;

	/** Of each service, one at a time, each second: 0.375 of its runners, three times. */
	private static final int REPLACED = 9;

	private static final long GAP_MILLIS = 1000;

	private record Sent(long millis, String address) {

	}

	private final Record record;

	private final Fleet fleet;

	private final Map<String, Sent> sent = new ConcurrentHashMap<>();

	private final Map<String, Long> left = new ConcurrentHashMap<>();

	private final Map<String, Long> readySince = new ConcurrentHashMap<>();

	private final Map<String, AtomicInteger> late = new ConcurrentHashMap<>();

	private final Map<String, AtomicInteger> answers = new ConcurrentHashMap<>();

	private final AtomicInteger cut = new AtomicInteger();

	private final AtomicInteger ids = new AtomicInteger();

	private volatile boolean stopped;

	private LeftRunnerCase(Path root, Path folder) throws Exception {
		this.record = new Record(folder.resolve("record.txt"));
		this.fleet = new Fleet(root);
	}

	public static void main(String[] args) {
		int result = 2;
		try {
			result = new LeftRunnerCase(Path.of(args[0]), Path.of(args[1])).run(!"0".equals(System.getenv("TROUBLE")));
		}
		catch (Exception ex) {
			ex.printStackTrace();
		}
		// Ends the processes too.
		System.exit(result);
	}

	private int run(boolean trouble) throws Exception {
		this.fleet.useStaleSeeds();
		for (int i = 0; i < SERVICES.length * RUNNERS; i++) {
			addRunner(SERVICES[i % SERVICES.length]);
		}
		for (int i = 1; i <= MACHINES; i++) {
			this.fleet.vm(10 + i).start();
		}
		if (!this.fleet.awaitReady(MACHINES)) {
			this.record.shown("the machines did not become ready");
			return 2;
		}
		this.fleet.vms.forEach((vm) -> this.readySince.put(vm.ip + ":8221", this.record.millis()));
		for (int i = 0; i < 64; i++) {
			Random random = new Random(i);
			Threads.start("caller", () -> book(random));
		}
		Threads.pause(CONTACT_MILLIS + 1000);
		if (trouble) {
			Threads.start("replace", this::replaceMachines);
		}
		for (int i = 0; i < SERVICES.length * REPLACED; i++) {
			replace(this.fleet.runners.get(i));
			Threads.pause(GAP_MILLIS / SERVICES.length);
		}
		Threads.pause(DRAIN_MILLIS + LINGER_MILLIS + 1000);
		this.stopped = true;
		return judge();
	}

	private Runner addRunner(String service) throws Exception {
		return this.fleet.add(new Runner("i-" + this.ids.incrementAndGet(), service, "z1", null, this::work));
	}

	// The new one starts first. The old one does not report draining: its entry is removed.
	private void replace(Runner old) throws Exception {
		Runner next = addRunner(old.service);
		this.fleet.store.remove("servers", old.id);
		this.left.put(old.id, this.record.millis());
		this.record.line(next.id + " starts; the entry of " + old.id + " is removed");
		Threads.start("linger", () -> {
			Threads.pause(DRAIN_MILLIS + LINGER_MILLIS);
			this.record.line(old.id + " ends with " + old.running.get() + " requests at work");
			old.end();
		});
	}

	// The machine of the lowest name reads the store for the others. While it is partitioned
	// from the store, machines are replaced: the new one first, then SIGTERM. The seeds of all
	// are the first machines of the deployment, which were replaced earlier.
	private void replaceMachines() throws Exception {
		Vm reader = this.fleet.vms.get(0);
		this.readySince.remove(reader.ip + ":8221");
		this.record.line(reader.name + " is partitioned from the store");
		reader.store.set(Store.Mode.SILENT);
		Threads.start("heal", () -> {
			Threads.pause(CUT_MILLIS);
			reader.store.set(Store.Mode.SERVES);
			this.record.line(reader.name + " reaches the store again");
		});
		Threads.pause(500);
		for (int i = 1; i <= REPLACED_MACHINES; i++) {
			Vm old = this.fleet.vms.get(i);
			Vm vm = this.fleet.vm(30 + i);
			Threads.start("replace", () -> replaceMachine(old, vm));
			Threads.pause(900);
		}
	}

	private void replaceMachine(Vm old, Vm vm) throws Exception {
		this.record.line(vm.name + " starts");
		vm.start();
		vm.awaitReady(10_000);
		this.record.line(vm.name + " is ready, SIGTERM to " + old.name);
		this.readySince.remove(old.ip + ":8221");
		old.terminate();
	}

	private boolean work(Runner runner, Http.Message request, java.io.OutputStream out) throws Exception {
		String id = request.header("x-attempt-id");
		Sent from = this.sent.get(String.valueOf(id));
		long now = this.record.millis();
		Long leftAt = this.left.get(runner.id);
		if (from != null && leftAt != null && from.millis > leftAt + DRAIN_MILLIS) {
			Long ready = this.readySince.get(from.address);
			boolean inTouch = ready != null && from.millis > ready + CONTACT_MILLIS;
			this.record.line("request " + id + " reaches " + runner.id + " " + (now - leftAt)
					+ " ms after its entry was removed, from " + from.address + (inTouch ? "" : ", not in touch"));
			if (inTouch) {
				this.late.computeIfAbsent(runner.id, (key) -> new AtomicInteger()).incrementAndGet();
			}
		}
		Threads.pause(300 + Math.floorMod(String.valueOf(id).hashCode(), 300));
		runner.answer(out, request, "200 OK", "X-Response-Seal: " + Runner.seal(request) + "\r\n", "booked " + id);
		return true;
	}

	private void book(Random random) {
		Caller caller = new Caller();
		List<String> addresses = new ArrayList<>();
		for (int i = 0; !this.stopped; i++) {
			if (i % 20 == 0) {
				List<String> named = Caller.resolve(this.fleet.vms.get(1 + REPLACED_MACHINES + random.nextInt(MACHINES - 1 - REPLACED_MACHINES)).ip);
				addresses = named.isEmpty() ? addresses : named;
			}
			String address = addresses.get(random.nextInt(addresses.size()));
			String id = Long.toHexString(random.nextLong());
			this.sent.put(id, new Sent(this.record.millis(), address));
			String outcome;
			try {
				Http.Message answer = caller.call(address,
						"POST " + PATHS[i % PATHS.length] + id + " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: " + id
								+ "\r\nX-Deadline-Ms: 4000\r\nAuthorization: Bearer key1\r\nContent-Length: 4\r\n\r\nbody",
						4500);
				outcome = Integer.toString(answer.status());
				if (answer.status() >= 500 && answer.status() != 503) {
					this.cut.incrementAndGet();
					this.record.line("request " + id + " gets " + answer.status() + ": " + new String(answer.body()));
				}
			}
			catch (Exception ex) {
				outcome = this.readySince.containsKey(address) ? "no answer" : "no answer, machine replaced";
				this.record.line("request " + id + " gets no answer from " + address + ": " + ex.getMessage());
			}
			this.answers.computeIfAbsent(outcome, (key) -> new AtomicInteger()).incrementAndGet();
			Threads.pause(20);
		}
	}

	private int judge() {
		Threads.pause(5000);
		this.record.shown("answers to bookings: " + this.answers);
		this.record.shown("requests that reached a runner later than " + DRAIN_MILLIS
				+ " ms after its entry was removed: " + this.late);
		this.record.shown("bookings that were cut off when such a runner ended: " + this.cut);
		this.record.shown(this.late.isEmpty() ? "DRAIN held" : "DRAIN is broken");
		return this.late.isEmpty() ? 0 : 1;
	}

}
