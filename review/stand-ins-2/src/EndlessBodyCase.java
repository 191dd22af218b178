import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The final fault: all processes are killed, and start again. From then on one of four decode
 * runners answers each reservation with bytes that are no answer and come without end.
 */
final class EndlessBodyCase implements Engine.Listener {

	private static final int MACHINES = 3;

	private static final int CLIENTS = 30;

	/** down_s of the closing faults of the site file is 0.9 to 1.4. */
	private static final long DOWN_MILLIS = 1000;

	/** recoveryS of the site. */
	private static final long RECOVERY_MILLIS = 12_000;

	private static final long BYTE_MILLIS = 250;

	private final Record record;

	private final Fleet fleet;

	private final Engine engine = new Engine(10, 20, this);

	/** Sent and served, before the final fault and after the recovery. */
	private final Map<String, AtomicInteger> counts = new ConcurrentHashMap<>();

	private final Map<String, AtomicInteger> answers = new ConcurrentHashMap<>();

	private volatile long killedAt = Long.MAX_VALUE;

	private volatile long backAt = Long.MAX_VALUE;

	private volatile String endless = "";

	private volatile boolean stopped;

	private EndlessBodyCase(Path root, Path folder) throws Exception {
		this.record = new Record(folder.resolve("record.txt"));
		this.fleet = new Fleet(root);
	}

	public static void main(String[] args) {
		int result = 2;
		try {
			result = new EndlessBodyCase(Path.of(args[0]), Path.of(args[1])).run(String.valueOf(System.getenv("TROUBLE")));
		}
		catch (Exception ex) {
			ex.printStackTrace();
		}
		// Ends the processes too.
		System.exit(result);
	}

	/** TROUBLE=0 leaves out both; TROUBLE=kill leaves out the endless bytes. */
	private int run(String trouble) throws Exception {
		this.fleet.useSeeds(MACHINES);
		for (int i = 1; i <= 6; i++) {
			this.fleet.add(new Runner("i-" + i, "llm", "z1", (i <= 2) ? "prefill" : "decode", this::serve));
		}
		for (int i = 1; i <= MACHINES; i++) {
			this.fleet.vm(i).start();
		}
		if (!this.fleet.awaitReady(MACHINES)) {
			this.record.shown("the machines did not become ready");
			return 2;
		}
		for (int i = 0; i < CLIENTS; i++) {
			Random random = new Random(i);
			Threads.start("client", () -> summaries(random));
		}
		Threads.pause(8000);
		this.killedAt = this.record.millis();
		if (!trouble.equals("0")) {
			this.record.line("all processes are killed");
			for (Vm vm : this.fleet.vms) {
				vm.kill();
			}
			if (!trouble.equals("kill")) {
				this.endless = "i-3";
				this.record.line("i-3 answers reservations with bytes without end");
			}
			Threads.pause(DOWN_MILLIS);
			for (Vm vm : this.fleet.vms) {
				vm.start();
			}
			this.record.line("all processes are started");
		}
		this.backAt = this.record.millis();
		Threads.pause(RECOVERY_MILLIS + 25_000);
		this.stopped = true;
		Threads.pause(6000);
		return judge();
	}

	private int judge() {
		double before = share("before");
		double after = share("after");
		this.record.shown("all answers: " + new TreeMap<>(this.answers));
		this.record.shown("counts: " + new TreeMap<>(this.counts));
		this.record.shown(String.format("served before the final fault: %.2f, later than %d s after the machines are back: %.2f",
				before, RECOVERY_MILLIS / 1000, after));
		boolean broken = before >= 0.25 && after < 0.25;
		this.record.shown(broken ? "RECOVER is broken" : "RECOVER held");
		return broken ? 1 : 0;
	}

	private double share(String phase) {
		return (double) count("served " + phase).get() / Math.max(1, count("sent " + phase).get());
	}

	private AtomicInteger count(String name) {
		return this.counts.computeIfAbsent(name, (key) -> new AtomicInteger());
	}

	private boolean serve(Runner runner, Http.Message request, OutputStream out) throws Exception {
		if (request.word(1).equals("/hold-take") && runner.id.equals(this.endless)) {
			out.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
				.getBytes());
			while (!this.stopped) {
				out.write("1\r\n#\r\n".getBytes());
				Threads.pause(BYTE_MILLIS);
			}
			return false;
		}
		return this.engine.serve(runner, request, out);
	}

	@Override
	public void began(Runner runner, Http.Message request) {
	}

	@Override
	public void ended(Runner runner, Http.Message request, boolean complete) {
		this.record.line("request " + request.header("x-attempt-id") + " ran at " + runner.id
				+ (complete ? ", complete" : ", broken off"));
	}

	private void summaries(Random random) {
		while (!this.stopped) {
			String address = this.fleet.vms.get(random.nextInt(MACHINES)).ip + ":8221";
			String id = Long.toHexString(random.nextLong());
			long now = this.record.millis();
			String phase = (now < this.killedAt) ? "before" : (now > this.backAt + RECOVERY_MILLIS) ? "after" : "meanwhile";
			count("sent " + phase).incrementAndGet();
			String outcome = attempt(address, id);
			this.answers.computeIfAbsent(outcome, (key) -> new AtomicInteger()).incrementAndGet();
			this.record.line("request " + id + " at " + address + ": " + outcome);
			if (outcome.equals("served")) {
				count("served " + phase).incrementAndGet();
			}
			Threads.pause(outcome.equals("served") ? 300 : 1000);
		}
	}

	private static String attempt(String address, String id) {
		Caller caller = new Caller();
		try (Socket socket = caller.connect(address)) {
			socket.setSoTimeout(15_000);
			InputStream in = caller.input(socket);
			socket.getOutputStream()
				.write(("POST /sum/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: " + id
						+ "\r\nX-Deadline-Ms: 14000\r\nAuthorization: Bearer key1\r\nX-Model: m\r\n"
						+ "X-Token-Count: 100,40\r\nX-Prompt-Prefix: " + id.substring(0, 6)
						+ ":100\r\nContent-Length: 4\r\n\r\nbody")
					.getBytes());
			Http.Message head = Http.head(in);
			if (head.status() != 200) {
				return Integer.toString(head.status());
			}
			byte[] chunk = Http.chunk(in);
			while (chunk.length > 0) {
				chunk = Http.chunk(in);
			}
			return "served";
		}
		catch (IOException | RuntimeException ex) {
			return "no answer";
		}
	}

}
