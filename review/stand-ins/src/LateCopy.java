import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Runners crash and come back at their address as a new instance. For five seconds after that
 * the new instance sends some of its 421 responses twice; the second copy arrives where the next
 * response on that connection is expected. Checks that no order runs more than once.
 */
final class LateCopy {

	private static final int MACHINES = 4;

	private static final int RUNNERS = 3;

	private static final long WORK_MILLIS = 60;

	private static final int CLIENTS = 80;

	private static final long PAUSE_MILLIS = 450;

	private static final long DOWN_MILLIS = 300;

	/** Length of the disruption and largest share of the answers that may be sent twice in it. */
	private static final long SPOILED_MILLIS = 5000;

	private static final double MAX_SPOILED_SHARE = 0.03;

	private static final int ROUNDS = 13;

	private static final long ROUND_MILLIS = 7000;

	private LateCopy() {
	}

	public static void main(String[] args) {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		int status = 2;
		try (Deployment deployment = new Deployment(Path.of(args[0]), MACHINES)) {
			status = new LateCopyRun(deployment, trouble).run();
		}
		catch (Exception ex) {
			ex.printStackTrace();
		}
		System.exit(status);
	}

	/** A runner that may send a second copy of a refusal. */
	private static final class Copying extends Runner {

		private final long startNanos = System.nanoTime();

		private final Map<Socket, Copy> copies = new ConcurrentHashMap<>();

		private final Spoiled spoiled;

		Copying(Deployment deployment, int number, int generation, int port, Spoiled spoiled) throws Exception {
			super("i-" + number + '-' + generation, Deployment.SERVICE, deployment.ip(101 + number), port,
					"lima-" + (char) ('a' + number), WORK_MILLIS, deployment.store, deployment.record);
			this.spoiled = spoiled;
		}

		private boolean inWindow() {
			return this.spoiled != null && System.nanoTime() - this.startNanos < SPOILED_MILLIS * 1_000_000;
		}

		@Override
		boolean handle(Http.Message request, Socket socket) throws Exception {
			Copy copy = this.copies.remove(socket);
			String attempt = request.header("X-Attempt-Id");
			// A copy with the id of the next request could not be told from its answer.
			if (copy != null && request.method().equals("POST") && !copy.attempt().equals(attempt)
					&& this.spoiled.tryCopy()) {
				this.record.line("runner " + this.id + " sends the second copy of its 421 to " + copy.attempt()
						+ " where the answer to " + attempt + " is due");
				socket.getOutputStream().write(copy.bytes());
			}
			if (inWindow()) {
				this.spoiled.answered();
			}
			return super.handle(request, socket);
		}

		@Override
		boolean misdirected(Http.Message request, Socket socket) throws Exception {
			String attempt = request.header("X-Attempt-Id");
			this.record.line("runner " + this.id + " answers 421 to " + attempt);
			super.misdirected(request, socket);
			if (inWindow()) {
				this.copies.put(socket, new Copy(attempt, message("421 Misdirected Request", attempt,
						Map.of("X-Instance-Id", this.id, "X-Not-Executed", "1"), "")));
			}
			return true;
		}

	}

	/** Second copy of the answer to an attempt. */
	private record Copy(String attempt, byte[] bytes) {

	}

	/** Answers of the spoiled runners in their windows, and how many of these are sent twice. */
	private static final class Spoiled {

		private long answers;

		private long copies;

		synchronized void answered() {
			this.answers++;
		}

		synchronized boolean tryCopy() {
			if (this.copies + 1 > MAX_SPOILED_SHARE * this.answers) {
				return false;
			}
			this.copies++;
			return true;
		}

		synchronized double share() {
			return this.copies / (double) Math.max(1, this.answers);
		}

	}

	/** One run of the case. */
	private static final class LateCopyRun {

		private final Deployment deployment;

		private final boolean trouble;

		private final Set<String> orders = ConcurrentHashMap.newKeySet();

		private volatile boolean ended;

		LateCopyRun(Deployment deployment, boolean trouble) {
			this.deployment = deployment;
			this.trouble = trouble;
		}

		int run() throws Exception {
			Copying[] runners = new Copying[RUNNERS];
			for (int i = 0; i < RUNNERS; i++) {
				runners[i] = new Copying(this.deployment, i, 0, 0, null);
			}
			if (!this.deployment.start()) {
				this.deployment.record.say("the machines did not become ready");
				return 2;
			}
			List<Thread> clients = new ArrayList<>();
			for (int i = 0; i < CLIENTS; i++) {
				int number = i;
				clients.add(Listener.thread("client", () -> ask(number)));
			}
			Thread.sleep(3000);
			Spoiled spoiled = new Spoiled();
			for (int round = 1; round <= ROUNDS; round++) {
				long end = System.nanoTime() + ROUND_MILLIS * 1_000_000;
				int number = round % RUNNERS;
				if (this.trouble) {
					int port = runners[number].listener.port();
					this.deployment.record.line("runner " + runners[number].id + " crashes");
					runners[number].crash();
					Thread.sleep(DOWN_MILLIS);
					runners[number] = new Copying(this.deployment, number, round, port, spoiled);
					this.deployment.record.line("runner " + runners[number].id + " starts at the same address");
				}
				Thread.sleep(Math.max(0, (end - System.nanoTime()) / 1_000_000));
			}
			this.ended = true;
			for (Thread client : clients) {
				client.join(5000);
			}
			return judge(spoiled.share());
		}

		private void ask(int number) {
			Vm vm = this.deployment.vms.get(number % MACHINES);
			try (Client client = new Client(vm.callers(), this.deployment.record)) {
				for (int i = 0; !this.ended; i++) {
					boolean order = (number + i) % 7 >= 2;
					Client.Outcome outcome = client.send(order ? "POST" : "GET",
							(order ? Deployment.PLACE : Deployment.LOOK) + "2f", Deployment.AUTHORIZATION,
							new byte[order ? 600 : 0], Deployment.DEADLINE_MILLIS, Deployment.DEADLINE_MILLIS);
					if (order) {
						this.orders.add(outcome.attempt());
					}
					Thread.sleep((long) (PAUSE_MILLIS * (0.5 + Math.random())));
				}
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}

		private int judge(double share) {
			int twice = 0;
			for (String order : this.orders) {
				List<String> runs = this.deployment.record.runs().getOrDefault(order, List.of());
				if (runs.size() > 1) {
					twice++;
					this.deployment.record.say("TWICE: order " + order + " ran at " + runs);
				}
			}
			this.deployment.record.say("orders " + this.orders.size() + ", run more than once " + twice
					+ ", share of the spoiled runners' answers sent twice " + String.format("%.3f", share));
			if (share > MAX_SPOILED_SHARE || this.orders.size() < 300) {
				this.deployment.record.say("the case did not run as planned");
				return 2;
			}
			return (twice > 0) ? 1 : 0;
		}

	}

}
