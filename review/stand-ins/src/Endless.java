import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some runners send bodies without end for some of their answers, until the caller closes.
 * Checks that orders are answered half a second after the time limit of their route at the
 * latest.
 */
final class Endless {

	private static final int MACHINES = 1;

	private static final int RUNNERS = 5;

	/** Runners that are disturbed, a share of 0.6, and the share of their answers. */
	private static final int SPOILED_RUNNERS = 3;

	private static final double SPOILED_SHARE = 0.05;

	private static final long WORK_MILLIS = 57;

	private static final int CLIENTS = 60;

	private static final long PAUSE_MILLIS = 60;

	private static final int WINDOWS = 8;

	private static final long WINDOW_MILLIS = 5000;

	private static final long CALM_MILLIS = 5500;

	private static final long BYTES_PER_SECOND = 6_000_000;

	private static final long LIMIT_MILLIS = Deployment.TIMEOUT_MILLIS + 500;

	private final Deployment deployment;

	private final boolean trouble;

	private final AtomicInteger sent = new AtomicInteger();

	private final AtomicInteger overdue = new AtomicInteger();

	private final AtomicInteger unanswered = new AtomicInteger();

	private final AtomicInteger endless = new AtomicInteger();

	private volatile boolean spoils;

	private volatile boolean ended;

	private Endless(Deployment deployment, boolean trouble) {
		this.deployment = deployment;
		this.trouble = trouble;
	}

	public static void main(String[] args) {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		int status = 2;
		try (Deployment deployment = new Deployment(Path.of(args[0]), MACHINES)) {
			status = new Endless(deployment, trouble).run();
		}
		catch (Exception ex) {
			ex.printStackTrace();
		}
		System.exit(status);
	}

	/** A runner whose answers may have no end. */
	private final class Spoiled extends Runner {

		Spoiled(int number) throws Exception {
			super("i-" + number, Deployment.SERVICE, Endless.this.deployment.ip(101 + number), 0,
					"lima-" + (char) ('a' + number % 3), WORK_MILLIS, Endless.this.deployment.store,
					Endless.this.deployment.record);
		}

		@Override
		boolean run(Http.Message request, String attempt, Socket socket) throws Exception {
			if (!Endless.this.spoils || Math.random() >= SPOILED_SHARE) {
				return super.run(request, attempt, socket);
			}
			this.record.ran(this.id, attempt, request);
			work();
			this.record.line("runner " + this.id + " begins a body without end for " + attempt);
			Endless.this.endless.incrementAndGet();
			OutputStream out = socket.getOutputStream();
			out.write(("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Response-Seal: seal-" + attempt
					+ "\r\n\r\n")
				.getBytes(StandardCharsets.ISO_8859_1));
			byte[] bytes = new byte[16 * 1024];
			Arrays.fill(bytes, (byte) 'x');
			long start = System.nanoTime();
			// Writing fails as soon as the caller has closed the connection.
			for (long n = bytes.length;; n += bytes.length) {
				out.write(bytes);
				long due = start + n * 1_000_000_000L / BYTES_PER_SECOND;
				Thread.sleep(Math.max(0, (due - System.nanoTime()) / 1_000_000));
			}
		}

	}

	private int run() throws Exception {
		for (int i = 0; i < RUNNERS; i++) {
			if (i < SPOILED_RUNNERS) {
				new Spoiled(i);
			}
			else {
				new Runner("i-" + i, Deployment.SERVICE, this.deployment.ip(101 + i), 0, "lima-" + (char) ('a' + i % 3),
						WORK_MILLIS, this.deployment.store, this.deployment.record);
			}
		}
		if (!this.deployment.start()) {
			this.deployment.record.say("the machine did not become ready");
			return 2;
		}
		List<Thread> clients = new ArrayList<>();
		for (int i = 0; i < CLIENTS; i++) {
			clients.add(Listener.thread("client", this::ask));
		}
		for (int i = 0; i < WINDOWS; i++) {
			Thread.sleep(CALM_MILLIS);
			this.spoils = this.trouble;
			Thread.sleep(WINDOW_MILLIS);
			this.spoils = false;
		}
		Thread.sleep(2 * LIMIT_MILLIS);
		this.ended = true;
		for (Thread client : clients) {
			client.join(2 * Deployment.DEADLINE_MILLIS);
		}
		return judge();
	}

	private void ask() {
		try (Client client = new Client(this.deployment.vms.get(0).callers(), this.deployment.record)) {
			while (!this.ended) {
				boolean order = Math.random() < 0.71;
				this.sent.incrementAndGet();
				Client.Outcome outcome = client.send(order ? "POST" : "GET",
						(order ? Deployment.PLACE : Deployment.LOOK) + "2f", Deployment.AUTHORIZATION,
						new byte[order ? 600 : 0], Deployment.DEADLINE_MILLIS, Deployment.DEADLINE_MILLIS);
				if (order) {
					check(outcome);
				}
				Thread.sleep((long) (PAUSE_MILLIS * (0.5 + Math.random())));
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void check(Client.Outcome outcome) {
		if (outcome.millis() <= Deployment.TIMEOUT_MILLIS) {
			return;
		}
		this.overdue.incrementAndGet();
		if (outcome.answer() != null && outcome.millis() <= LIMIT_MILLIS) {
			return;
		}
		this.unanswered.incrementAndGet();
		this.deployment.record.say("CONFIG: " + outcome + ", run at "
				+ this.deployment.record.runs().getOrDefault(outcome.attempt(), List.of()));
	}

	private int judge() {
		int late = this.overdue.get();
		int missing = this.unanswered.get();
		this.deployment.record.say("requests " + this.sent + ", bodies without end " + this.endless
				+ ", orders unanswered at the time limit " + late + ", of these still unanswered half a second later "
				+ missing);
		if (this.sent.get() < 5000) {
			this.deployment.record.say("the case did not run as planned");
			return 2;
		}
		boolean running = this.deployment.vms.stream().allMatch(Vm::isRunning);
		if (!running) {
			this.deployment.record.say("the machine's process has ended by itself");
		}
		return (!running || 2 * missing > late) ? 1 : 0;
	}

}
