import java.io.OutputStream;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The store is down. Meanwhile one runner leaves without a report to the store. It says so in
 * all its answers, serves for drainMs and a little longer, and ends.
 */
final class LeavingNoticeCase {

	private static final long DRAIN_MILLIS = 2000;

	/** platform_down, silent, as in the site file. */
	private static final long OUTAGE_MILLIS = 4500;

	/** linger_ms of the site file. */
	private static final long LINGER_MILLIS = 1500;

	private static final int MACHINES = 3;

	private static final int RUNNERS = 6;

	private static final int CALLERS = 32;

	private record Sent(long millis, String address) {

	}

	private final Record record;

	private final Fleet fleet;

	private final Map<String, Sent> sent = new ConcurrentHashMap<>();

	/** Time at which a machine first passed on an answer with the notice. */
	private final Map<String, Long> passedOn = new ConcurrentHashMap<>();

	private final Map<String, AtomicInteger> late = new ConcurrentHashMap<>();

	private final Map<String, AtomicInteger> answers = new ConcurrentHashMap<>();

	private final AtomicInteger cut = new AtomicInteger();

	private volatile boolean stopped;

	private LeavingNoticeCase(Path root, Path folder) throws Exception {
		this.record = new Record(folder.resolve("record.txt"));
		this.fleet = new Fleet(root);
	}

	public static void main(String[] args) {
		int result = 2;
		try {
			result = new LeavingNoticeCase(Path.of(args[0]), Path.of(args[1])).run(!"0".equals(System.getenv("TROUBLE")));
		}
		catch (Exception ex) {
			ex.printStackTrace();
		}
		// Ends the processes too.
		System.exit(result);
	}

	private int run(boolean trouble) throws Exception {
		this.fleet.useSeeds(MACHINES);
		for (int i = 1; i <= RUNNERS; i++) {
			this.fleet.add(new Runner("i-" + i, "desk", "z1", null, this::work));
		}
		for (int i = 1; i <= MACHINES; i++) {
			this.fleet.vm(i).start();
		}
		if (!this.fleet.awaitReady(MACHINES)) {
			this.record.shown("the machines did not become ready");
			return 2;
		}
		for (int i = 0; i < CALLERS; i++) {
			Random random = new Random(i);
			Threads.start("caller", () -> book(random));
		}
		Threads.pause(4000);
		if (trouble) {
			this.record.line("the store is down");
			this.fleet.vms.forEach((vm) -> vm.store.set(Store.Mode.SILENT));
			Threads.start("heal", () -> {
				Threads.pause(OUTAGE_MILLIS);
				this.fleet.vms.forEach((vm) -> vm.store.set(Store.Mode.SERVES));
				this.record.line("the store is back");
			});
		}
		Threads.pause(200);
		Runner runner = this.fleet.runners.get(0);
		this.fleet.store.remove("servers", runner.id);
		runner.leaving = true;
		this.record.line(runner.id + " leaves; its entry is removed");
		Threads.pause(DRAIN_MILLIS + LINGER_MILLIS);
		this.record.line(runner.id + " ends with " + runner.running.get() + " requests at work");
		runner.end();
		Threads.pause(4000);
		this.stopped = true;
		Threads.pause(4500);
		return judge();
	}

	private boolean work(Runner runner, Http.Message request, OutputStream out) throws Exception {
		String id = String.valueOf(request.header("x-attempt-id"));
		Sent from = this.sent.get(id);
		Long notice = (from != null && runner.leaving) ? this.passedOn.get(from.address) : null;
		if (notice != null && from.millis > notice + DRAIN_MILLIS) {
			this.late.computeIfAbsent(from.address, (key) -> new AtomicInteger()).incrementAndGet();
			this.record.line("request " + id + " reaches " + runner.id + " from " + from.address + "; it was sent "
					+ (from.millis - notice) + " ms after that machine had passed on the notice");
		}
		Threads.pause(200 + Math.floorMod(id.hashCode(), 200));
		runner.answer(out, request, "200 OK", "X-Response-Seal: " + Runner.seal(request) + "\r\n"
				+ (runner.leaving ? "Server-Leaving: 1\r\nConnection: close\r\n" : ""), "booked " + id);
		return !runner.leaving;
	}

	private void book(Random random) {
		Caller caller = new Caller();
		List<String> addresses = this.fleet.vms.stream().map((vm) -> vm.ip + ":8221").toList();
		while (!this.stopped) {
			String address = addresses.get(random.nextInt(addresses.size()));
			String id = Long.toHexString(random.nextLong());
			this.sent.put(id, new Sent(this.record.millis(), address));
			String outcome;
			try {
				Http.Message answer = caller.call(address,
						"POST /book/" + id + " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: " + id
								+ "\r\nX-Deadline-Ms: 4000\r\nAuthorization: Bearer key1\r\nContent-Length: 4\r\n\r\nbody",
						4500);
				outcome = Integer.toString(answer.status());
				if (answer.header("server-leaving") != null
						&& this.passedOn.putIfAbsent(address, this.record.millis()) == null) {
					this.record.line(address + " passes on an answer with the notice");
				}
				if (answer.status() != 200) {
					this.cut.incrementAndGet();
					this.record.line("request " + id + " gets " + answer.status() + ": " + new String(answer.body()));
				}
			}
			catch (Exception ex) {
				outcome = "no answer";
				this.record.line("request " + id + " gets no answer from " + address + ": " + ex.getMessage());
			}
			this.answers.computeIfAbsent(outcome, (key) -> new AtomicInteger()).incrementAndGet();
			Threads.pause(20);
		}
	}

	private int judge() {
		this.record.shown("answers to bookings: " + this.answers);
		this.record.shown("requests that reached the runner although they were sent later than " + DRAIN_MILLIS
				+ " ms after the machine had passed on the notice, by machine: " + this.late);
		this.record.shown("bookings without success: " + this.cut);
		this.record.shown(this.late.isEmpty() ? "DRAIN held" : "DRAIN is broken");
		return this.late.isEmpty() ? 0 : 1;
	}

}
