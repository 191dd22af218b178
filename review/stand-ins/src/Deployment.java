import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small deployment on loopback addresses: a store, machines, and one plain service. */
final class Deployment implements AutoCloseable {

	static final String HOST = "desk.example";

	static final String SERVICE = "order-desk";

	static final String PLACE = "/orders/";

	static final String LOOK = "/stock/";

	static final String KEY = "key-of-the-workshops";

	static final Map<String, String> AUTHORIZATION = Map.of("Authorization", "Bearer " + KEY);

	static final int TIMEOUT_MILLIS = 2000;

	static final int DEADLINE_MILLIS = 4000;

	private final Path directory;

	private final int network = 1 + (int) (ProcessHandle.current().pid() % 250);

	final Store store;

	final Record record;

	final List<Vm> vms = new ArrayList<>();

	Deployment(Path folder, int machines) throws IOException {
		this.directory = Files.createTempDirectory("review");
		this.record = new Record(folder.resolve("record.txt"));
		this.store = new Store(ip(200));
		this.store.put("op", "config", configuration(1));
		List<String> ips = new ArrayList<>();
		for (int i = 1; i <= machines; i++) {
			ips.add(ip(i));
		}
		int[] ports = Vm.freePorts(ips);
		List<String> seeds = ips.stream().limit(3).map((ip) -> ip + ':' + ports[3]).toList();
		for (int i = 1; i <= machines; i++) {
			String dataCentre = "lima-" + (char) ('a' + (i - 1) % 3);
			this.vms.add(new Vm(this.directory, "edge-" + dataCentre + '-' + i, dataCentre, ip(i), ports, seeds,
					this.store.address()));
		}
		Runtime.getRuntime().addShutdownHook(new Thread(this::close));
	}

	String ip(int host) {
		return "127.9." + this.network + '.' + host;
	}

	/** Starts all machines and returns whether all of them became ready. */
	boolean start() throws Exception {
		for (Vm vm : this.vms) {
			vm.start();
		}
		boolean ready = true;
		for (Vm vm : this.vms) {
			ready &= vm.awaitReady(20_000);
		}
		return ready;
	}

	static Map<String, Object> configuration(long version) {
		Map<String, Object> config = new LinkedHashMap<>();
		config.put("version", version);
		config.put("routes", List.of(route("r-place", PLACE, "non_idempotent", 1), route("r-look", LOOK, "idempotent", 2)));
		config.put("services", List.of(Map.of("name", SERVICE, "healthPath", "/health", "maxConns", 110, "protocol",
				"h1", "tls", false, "coldStartS", 0.0, "coldPerS", 0.0)));
		config.put("limits", Map.of("maxHeaderBytes", 16384, "maxBodyBytes", 4194304, "headerTimeoutMs", 3000,
				"idleTimeoutMs", 15000));
		config.put("tenants", List.of(Map.of("name", "workshops", "apiKeys", List.of(KEY), "priority", 1, "unit",
				"token_stream", "plainTokens", 200, "ratePerS", 0, "burst", 0)));
		return config;
	}

	private static Map<String, Object> route(String name, String prefix, String kind, int attempts) {
		Map<String, Object> route = new LinkedHashMap<>();
		route.put("name", name);
		route.put("host", HOST);
		route.put("prefix", prefix);
		route.put("kind", kind);
		route.put("timeoutMs", TIMEOUT_MILLIS);
		route.put("sloMs", 300);
		route.put("priority", 2);
		route.put("service", SERVICE);
		route.put("maxAttempts", attempts);
		route.put("anonymous", false);
		route.put("sticky", false);
		route.put("canResume", false);
		return route;
	}

	@Override
	public void close() {
		this.vms.forEach(Vm::close);
		this.record.close();
		File[] files = this.directory.toFile().listFiles();
		for (File file : (files != null) ? files : new File[0]) {
			file.delete();
		}
		this.directory.toFile().delete();
	}

}
