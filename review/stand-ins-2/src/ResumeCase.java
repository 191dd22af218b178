import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A process of the system is killed under streams that may be resumed. Their clients go on at
 * another machine with Last-Event-Id.
 */
final class ResumeCase implements Engine.Listener {

	private static final int MACHINES = 4;

	private static final int CLIENTS = 24;

	private static final int EVENTS = 60;

	private static final long EVENT_MILLIS = 50;

	/** A client resumes a few times. */
	private static final int MAX_RESUMES = 4;

	private final Record record;

	private final Fleet fleet;

	private final Engine engine = new Engine(EVENTS, EVENT_MILLIS, this);

	private final Map<String, AtomicInteger> outcomes = new ConcurrentHashMap<>();

	/** Closed without an answer by a machine in touch, after the request reached a sound runner. */
	private final AtomicInteger closed = new AtomicInteger();

	private final Set<String> reached = ConcurrentHashMap.newKeySet();

	private volatile String killed = "";

	private ResumeCase(Path root, Path folder) throws Exception {
		this.record = new Record(folder.resolve("record.txt"));
		this.fleet = new Fleet(root);
	}

	public static void main(String[] args) {
		int result = 2;
		try {
			result = new ResumeCase(Path.of(args[0]), Path.of(args[1])).run(!"0".equals(System.getenv("TROUBLE")));
		}
		catch (Exception ex) {
			ex.printStackTrace();
		}
		// Ends the processes too.
		System.exit(result);
	}

	private int run(boolean trouble) throws Exception {
		this.fleet.useSeeds(3);
		for (int i = 1; i <= 6; i++) {
			this.fleet.add(new Runner("i-" + i, "llm", "z1", (i <= 2) ? "prefill" : "decode", this.engine));
		}
		this.fleet.add(new Runner("i-7", "desk", "z1", null, (runner, request, out) -> {
			runner.answer(out, request, "200 OK", "X-Response-Seal: " + Runner.seal(request) + "\r\n", "stock");
			return true;
		}));
		for (int i = 1; i <= MACHINES; i++) {
			this.fleet.vm(i).start();
		}
		if (!this.fleet.awaitReady(MACHINES)) {
			this.record.shown("the machines did not become ready");
			return 2;
		}
		Threads.pause(4000);
		Thread[] clients = new Thread[CLIENTS];
		for (int i = 0; i < CLIENTS; i++) {
			Random random = new Random(i);
			int first = i % MACHINES;
			clients[i] = Threads.start("client", () -> draft(random, first));
		}
		Threads.pause(1800);
		if (trouble) {
			Vm vm = this.fleet.vms.get(0);
			this.killed = vm.ip + ":8221";
			this.record.line(vm.name + " is killed");
			vm.kill();
		}
		for (Thread client : clients) {
			client.join(30_000);
		}
		this.record.shown("streams: " + this.outcomes);
		this.record.shown("requests on kept connections that reached a sound runner and whose connection was closed "
				+ "without an answer: " + this.closed);
		boolean broken = this.closed.get() > 3;
		this.record.shown(broken ? "LOST is broken" : "LOST held");
		return broken ? 1 : 0;
	}

	@Override
	public void began(Runner runner, Http.Message request) {
		this.reached.add(String.valueOf(request.header("x-attempt-id")));
	}

	@Override
	public void ended(Runner runner, Http.Message request, boolean complete) {
		this.record.line("request " + request.header("x-attempt-id") + " at " + runner.id + ", Last-Event-Id "
				+ request.header("last-event-id") + (complete ? ", complete" : ", broken off by the machine"));
	}

	private void draft(Random random, int first) {
		List<String> machines = this.fleet.vms.stream().map((vm) -> vm.ip + ":8221").toList();
		int last = 0;
		for (int i = 0; i <= MAX_RESUMES && last < this.engine.lastId(); i++) {
			String address = machines.get((i == 0) ? first : 1 + random.nextInt(MACHINES - 1));
			last = attempt(address, Long.toHexString(random.nextLong()), last);
			Threads.pause(100);
		}
		String outcome = (last == this.engine.lastId()) ? "complete" : "never completed";
		this.outcomes.computeIfAbsent(outcome, (key) -> new AtomicInteger()).incrementAndGet();
	}

	/** Sends one request on a connection that served another one before. Returns the last id. */
	private int attempt(String address, String id, int from) {
		int last = from;
		Socket socket = null;
		Caller caller = new Caller();
		try {
			socket = caller.connect(address);
			socket.setSoTimeout(15_000);
			InputStream in = caller.input(socket);
			socket.getOutputStream().write(request("GET /look/" + id, id + "a", "").getBytes());
			Http.message(in);
			socket.getOutputStream()
				.write(request("POST /draft/x", id,
						"X-Model: m\r\nX-Token-Count: 100,240\r\nX-Prompt-Prefix: " + id.substring(0, 6) + ":100\r\n"
								+ ((from > 0) ? "Last-Event-Id: " + from + "\r\n" : "") + "Content-Length: 4\r\n")
					.getBytes());
			socket.getOutputStream().write("body".getBytes());
			Http.Message head = Http.head(in);
			if (head.status() != 200) {
				this.record.line("request " + id + " gets " + head.status());
				return last;
			}
			for (byte[] chunk = Http.chunk(in); chunk.length > 0; chunk = Http.chunk(in)) {
				for (String line : new String(chunk).split("\n")) {
					last = line.startsWith("id: ") ? Integer.parseInt(line.substring(4)) : last;
				}
			}
		}
		catch (IOException | RuntimeException ex) {
			boolean sound = this.reached.contains(id) && !address.equals(this.killed);
			if (sound && last == from) {
				this.closed.incrementAndGet();
			}
			this.record.line("request " + id + " at " + address + ", sent with Last-Event-Id " + from + ", ends after id "
					+ last + ": " + ex.getMessage());
		}
		finally {
			try {
				socket.close();
			}
			catch (IOException | RuntimeException ex) {
				// was not opened
			}
		}
		return last;
	}

	private static String request(String line, String id, String more) {
		return line + " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: " + id
				+ "\r\nX-Deadline-Ms: 14000\r\nAuthorization: Bearer key1\r\n" + more + "\r\n";
	}

}
