import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Many users come at once, in bursts. The clients keep their connections and send the next
 * request of a waiting user as soon as a connection has its answer. Checks that orders are
 * answered half a second after the time limit of their route at the latest.
 */
final class Burst {

	private static final int MACHINES = 2;

	private static final int RUNNERS = 10;

	private static final long WORK_MILLIS = 57;

	private static final int CLIENTS = 80;

	/** Rate of all clients together without a burst, and with one. */
	private static final double CALM_PER_SECOND = 500;

	private static final double BURST_FACTOR = 2.3;

	private static final int BURSTS = 12;

	private static final long BURST_MILLIS = 4000;

	private static final long CALM_MILLIS = 3500;

	private static final long LIMIT_MILLIS = Deployment.TIMEOUT_MILLIS + 500;

	private final Deployment deployment;

	private final boolean trouble;

	private final AtomicInteger sent = new AtomicInteger();

	private final AtomicInteger overdue = new AtomicInteger();

	private final AtomicInteger unanswered = new AtomicInteger();

	private final AtomicInteger ranAfterwards = new AtomicInteger();

	/** Time at which the next request is due; users wait for a connection after it. */
	private double nextSeconds;

	private volatile double perSecond = CALM_PER_SECOND;

	private volatile boolean ended;

	private Burst(Deployment deployment, boolean trouble) {
		this.deployment = deployment;
		this.trouble = trouble;
	}

	public static void main(String[] args) {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		int status = 2;
		try (Deployment deployment = new Deployment(Path.of(args[0]), MACHINES)) {
			status = new Burst(deployment, trouble).run();
		}
		catch (Exception ex) {
			ex.printStackTrace();
		}
		System.exit(status);
	}

	private int run() throws Exception {
		for (int i = 0; i < RUNNERS; i++) {
			new Runner("i-" + i, Deployment.SERVICE, this.deployment.ip(101 + i), 0, "lima-" + (char) ('a' + i % 3),
					WORK_MILLIS, this.deployment.store, this.deployment.record);
		}
		if (!this.deployment.start()) {
			this.deployment.record.say("the machines did not become ready");
			return 2;
		}
		Thread.sleep(1000);
		this.nextSeconds = System.nanoTime() / 1e9;
		List<Thread> clients = new ArrayList<>();
		for (int i = 0; i < CLIENTS; i++) {
			Vm vm = this.deployment.vms.get(i % MACHINES);
			clients.add(Listener.thread("client", () -> ask(vm)));
		}
		for (int i = 0; i < BURSTS; i++) {
			Thread.sleep(CALM_MILLIS);
			this.perSecond = this.trouble ? BURST_FACTOR * CALM_PER_SECOND : CALM_PER_SECOND;
			Thread.sleep(BURST_MILLIS);
			this.perSecond = CALM_PER_SECOND;
		}
		this.ended = true;
		for (Thread client : clients) {
			client.join(2 * Deployment.DEADLINE_MILLIS);
		}
		Thread.sleep(500);
		return judge();
	}

	/** Waits for the next user; a user for whom no connection was free is served at once. */
	private void awaitUser() throws InterruptedException {
		double due;
		synchronized (this) {
			double now = System.nanoTime() / 1e9;
			// Users who have waited for a second give up.
			this.nextSeconds = Math.max(this.nextSeconds + 1 / this.perSecond, now - 1);
			due = this.nextSeconds - now;
		}
		if (due > 0) {
			Thread.sleep((long) (due * 1000));
		}
	}

	private void ask(Vm vm) {
		try (Client client = new Client(vm.callers(), this.deployment.record)) {
			while (!this.ended) {
				awaitUser();
				boolean order = Math.random() < 0.71;
				this.sent.incrementAndGet();
				Client.Outcome outcome = client.send(order ? "POST" : "GET",
						(order ? Deployment.PLACE : Deployment.LOOK) + "2f", Deployment.AUTHORIZATION,
						new byte[order ? 600 : 0], Deployment.DEADLINE_MILLIS, Deployment.DEADLINE_MILLIS);
				// A client may give up a look-up that a machine does not read within a second.
				if (order) {
					check(outcome);
				}
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void check(Client.Outcome outcome) throws InterruptedException {
		if (outcome.millis() <= Deployment.TIMEOUT_MILLIS) {
			return;
		}
		this.overdue.incrementAndGet();
		if (outcome.answer() != null && outcome.millis() <= LIMIT_MILLIS) {
			return;
		}
		this.unanswered.incrementAndGet();
		boolean ranBefore = this.deployment.record.runs().containsKey(outcome.attempt());
		Thread.sleep(200);
		boolean ran = this.deployment.record.runs().containsKey(outcome.attempt());
		if (ran && !ranBefore) {
			this.ranAfterwards.incrementAndGet();
		}
		this.deployment.record.say("CONFIG: " + outcome + ", run by a runner before the client left: " + ranBefore
				+ ", after it: " + (ran && !ranBefore));
	}

	private int judge() {
		int late = this.overdue.get();
		int missing = this.unanswered.get();
		this.deployment.record.say("requests " + this.sent + ", orders unanswered at the time limit " + late
				+ ", of these still unanswered half a second later " + missing + ", of these run after their client had left "
				+ this.ranAfterwards);
		if (this.sent.get() < 5000 || this.deployment.vms.stream().anyMatch((vm) -> !vm.isRunning())) {
			this.deployment.record.say("the case did not run as planned");
			return 2;
		}
		return (missing > 0 && 2 * missing > late) ? 1 : 0;
	}

}
