import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A machine with one process of the system, started with the run line of the deploy file. */
final class Vm {

	private static final long EXIT_SECONDS = 10;

	final String name;

	final String ip;

	final Store.Entrance store;

	private final Path settings;

	private final Path log;

	private final Path root;

	private Process process;

	Vm(Path root, Path folder, String name, String zone, String ip, Store.Entrance store, List<String> seeds)
			throws IOException {
		this.root = root;
		this.name = name;
		this.ip = ip;
		this.store = store;
		this.settings = folder.resolve(name + ".json");
		this.log = folder.resolve(name + ".log");
		// deploy/settings.json with the figures of the site apfrr-andes
		Map<String, Object> fields = new LinkedHashMap<>();
		fields.put("vm", name);
		fields.put("dataCentre", zone);
		fields.put("ip", ip);
		fields.put("callers", ip + ":8221");
		fields.put("readiness", ip + ":8224");
		fields.put("directory", ip + ":8220");
		fields.put("metrics", ip + ":8229");
		fields.put("peerPorts", List.of(7600, 7615));
		fields.put("seeds", seeds);
		fields.put("store", store.address());
		fields.put("retryRatio", 0.2);
		fields.put("retryExtra", 56);
		fields.put("retryWindowSeconds", 10);
		fields.put("limitTolerance", 140000);
		fields.put("shutdownSeconds", 8);
		Files.writeString(this.settings, Json.write(fields));
	}

	/** Returns the network of this run, of which no address is in use. */
	static String network() {
		long pid = ProcessHandle.current().pid();
		return "127." + (1 + pid % 200) + '.' + pid / 200 % 250 + '.';
	}

	void start() throws IOException {
		String run = "";
		for (String line : Files.readAllLines(this.root.resolve("deploy/system.toml"))) {
			if (line.startsWith("run = ")) {
				run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
			}
		}
		ProcessBuilder builder = new ProcessBuilder(new ArrayList<>(List.of(run.split(" "))))
			.directory(this.root.toFile())
			.redirectErrorStream(true)
			.redirectOutput(ProcessBuilder.Redirect.appendTo(this.log.toFile()));
		builder.environment().put("BANYANSTILE_BOOT", this.settings.toString());
		this.process = builder.start();
	}

	boolean awaitReady(long millis) {
		long end = System.nanoTime() + millis * 1_000_000;
		while (System.nanoTime() < end) {
			try (Socket socket = new Socket(InetAddress.getByName(this.ip), 8224)) {
				socket.setSoTimeout(1000);
				socket.getOutputStream().write("GET /ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n".getBytes());
				if (Http.head(socket.getInputStream()).status() == 200) {
					return true;
				}
			}
			catch (IOException ex) {
				// not started yet
			}
			Threads.pause(50);
		}
		return false;
	}

	boolean isRunning() {
		return this.process != null && this.process.isAlive();
	}

	void signal(String signal) throws IOException, InterruptedException {
		new ProcessBuilder("kill", "-" + signal, Long.toString(this.process.pid())).start().waitFor();
	}

	void kill() throws InterruptedException {
		if (this.process != null) {
			this.process.destroyForcibly().waitFor();
		}
	}

	/** Sends SIGTERM, and SIGKILL after the grace time. */
	void terminate() throws InterruptedException {
		if (this.process != null) {
			this.process.destroy();
			if (!this.process.waitFor(EXIT_SECONDS, TimeUnit.SECONDS)) {
				kill();
			}
		}
	}

}
