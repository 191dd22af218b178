package org.banyanstile.emulator.quickstart;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.HdrHistogram.Histogram;
import org.banyanstile.emulator.process.Conditions;
import org.banyanstile.emulator.process.Deployment;
import org.banyanstile.emulator.process.Launcher;
import org.banyanstile.emulator.process.VmNode;
import org.banyanstile.io.http.HttpClient;
import org.banyanstile.io.http.HttpException;
import org.banyanstile.io.http.HttpRequest;

/**
 * Measures what a VM adds to a call of a plain service: latency against a direct call in
 * the same run, requests a second, resident memory and the time from start to the first
 * response.
 *
 * @author banyanstile contributors
 */
public final class PathLatencyMain {

	private static final int WARM_UP = 2000;

	private static final int CALLS = 5000;

	private static final int CALLERS = 16;

	private static final long LOAD_NANOS = TimeUnit.SECONDS.toNanos(10);

	private static final Duration START_LIMIT = Duration.ofSeconds(30);

	private static final int MAX_RESPONSE_BYTES = 65_536;

	private final HttpClient client = HttpClient.create(2);

	private final Deployment deployment;

	private final QuickstartDeployment quickstart;

	private PathLatencyMain(Deployment deployment) {
		this.deployment = deployment;
		this.quickstart = new QuickstartDeployment(deployment);
	}

	/**
	 * Runs the measurement on loopback.
	 * @param args the root directory of the project, {@code .} if absent
	 * @throws Exception if the deployment cannot be started
	 */
	public static void main(String[] args) throws Exception {
		Path root = Path.of((args.length > 0) ? args[0] : ".");
		Deployment deployment = Deployment.create(Launcher.ofJars(root), root.resolve("emulator/target/latency"));
		Runtime.getRuntime().addShutdownHook(new Thread(deployment::close, "cleanup"));
		new PathLatencyMain(deployment).run();
		System.exit(0);
	}

	private void run() throws IOException, InterruptedException, HttpException {
		this.quickstart.start();
		VmNode vm = this.deployment.vms().get(0);
		System.out.println("resident memory of an idle daemon: " + residentKilobytes(vm) + " KB");
		HttpRequest direct = HttpRequest.get(this.deployment.node("order-desk-1").address(), "/stock");
		HttpRequest routed = HttpRequest.get(vm.callerAddress(), "/v1/services/order-desk/stock")
			.withHeader("Authorization", "Bearer " + this.quickstart.keys().get(0));
		latencies(direct, routed, WARM_UP);
		Histogram[] measured = latencies(direct, routed, CALLS);
		print("direct call", measured[0]);
		print("through a VM", measured[1]);
		throughput(HttpRequest.get(vm.callerAddress(), "/v1/services/order-desk/catalogue"));
		System.out.println("resident memory after the load: " + residentKilobytes(vm) + " KB");
		startTime();
	}

	private Histogram[] latencies(HttpRequest direct, HttpRequest routed, int calls) throws HttpException {
		Histogram[] micros = { new Histogram(3), new Histogram(3) };
		for (int i = 0; i < calls; i++) {
			micros[0].recordValue(time(direct));
			micros[1].recordValue(time(routed));
		}
		return micros;
	}

	private long time(HttpRequest request) throws HttpException {
		long start = System.nanoTime();
		int status = send(request);
		if (status != 200) {
			throw new IllegalStateException(request.path() + " answered " + status);
		}
		return TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - start);
	}

	private int send(HttpRequest request) throws HttpException {
		try (var response = this.client.send(request)) {
			response.bytes(MAX_RESPONSE_BYTES);
			return response.status();
		}
	}

	private static void print(String name, Histogram micros) {
		System.out.printf("%s: median %d us, 99th percentile %d us, n %d%n", name, micros.getValueAtPercentile(50),
				micros.getValueAtPercentile(99), micros.getTotalCount());
	}

	private void throughput(HttpRequest request) throws InterruptedException {
		AtomicLong answered = new AtomicLong();
		AtomicLong refused = new AtomicLong();
		long end = System.nanoTime() + LOAD_NANOS;
		Thread[] callers = new Thread[CALLERS];
		for (int i = 0; i < CALLERS; i++) {
			callers[i] = new Thread(() -> callUntil(end, request, answered, refused), "caller-" + i);
			callers[i].start();
		}
		for (Thread caller : callers) {
			caller.join();
		}
		System.out.printf("%d callers through one VM: %.0f answers/s, %d refused%n", CALLERS,
				answered.get() * 1e9 / LOAD_NANOS, refused.get());
	}

	private void callUntil(long end, HttpRequest request, AtomicLong answered, AtomicLong refused) {
		while (System.nanoTime() - end < 0) {
			try {
				((send(request) == 200) ? answered : refused).incrementAndGet();
			}
			catch (HttpException ex) {
				refused.incrementAndGet();
			}
		}
	}

	private void startTime() throws IOException, InterruptedException, HttpException {
		long start = System.nanoTime();
		VmNode vm = this.deployment.startVm("vm-9", "lima-b");
		Conditions.await("vm-9 answers", START_LIMIT,
				() -> send(HttpRequest.get(vm.callerAddress(), "/v1/vms")) == 200);
		long answers = System.nanoTime();
		Conditions.await("vm-9 serves", START_LIMIT,
				() -> send(HttpRequest.get(vm.callerAddress(), "/v1/services/order-desk/catalogue")) == 200);
		System.out.printf("start to first answer %d ms, to the first routed call %d ms%n",
				TimeUnit.NANOSECONDS.toMillis(answers - start),
				TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start));
	}

	private static String residentKilobytes(VmNode vm) throws IOException {
		return Files.readAllLines(Path.of("/proc/" + vm.process().pid() + "/status"))
			.stream()
			.filter((line) -> line.startsWith("VmRSS:"))
			.map((line) -> line.replaceAll("\\D", ""))
			.findFirst()
			.orElse("unknown");
	}

}
