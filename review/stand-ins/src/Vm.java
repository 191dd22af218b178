import java.io.File;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A process of the daemon, started with the command of the deploy file. */
final class Vm implements AutoCloseable {

	private final Path directory;

	private final String name;

	private final Map<String, Object> settings = new LinkedHashMap<>();

	private Process process;

	Vm(Path directory, String name, String dataCentre, String ip, int[] ports, List<String> seeds, String store) {
		this.directory = directory;
		this.name = name;
		this.settings.put("vm", name);
		this.settings.put("dataCentre", dataCentre);
		this.settings.put("ip", ip);
		this.settings.put("callers", ip + ':' + ports[0]);
		this.settings.put("readiness", ip + ':' + ports[1]);
		this.settings.put("directory", ip + ':' + ports[2]);
		this.settings.put("metrics", ip + ':' + ports[3]);
		this.settings.put("peerPorts", List.of(ports[4], ports[4]));
		this.settings.put("seeds", seeds);
		this.settings.put("store", store);
		this.settings.put("retryRatio", 0.2);
		this.settings.put("retryExtra", 56);
		this.settings.put("retryWindowSeconds", 10);
		this.settings.put("limitTolerance", 140000);
		this.settings.put("shutdownSeconds", 8);
	}

	/** Finds five ports that are free at all addresses; all machines use the same ones. */
	static int[] freePorts(List<String> ips) throws IOException {
		int[] ports = new int[5];
		for (int i = 0; i < ports.length;) {
			try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getByName(ips.get(0)))) {
				int port = probe.getLocalPort();
				boolean free = true;
				for (String ip : ips) {
					try (DatagramSocket udp = new DatagramSocket(new InetSocketAddress(ip, port))) {
						free &= udp.isBound();
					}
					if (!ip.equals(ips.get(0))) {
						try (ServerSocket other = new ServerSocket(port, 1, InetAddress.getByName(ip))) {
							free &= other.isBound();
						}
					}
				}
				ports[i] = port;
				i++;
			}
			catch (IOException ex) {
				// Another process uses the port at one of the addresses.
			}
		}
		return ports;
	}

	String callers() {
		return (String) this.settings.get("callers");
	}

	boolean isRunning() {
		return this.process.isAlive();
	}

	/** Starts the process with the {@code run} line of the deploy file. */
	void start() throws IOException {
		Path file = this.directory.resolve(this.name + ".json");
		Files.writeString(file, Json.write(this.settings));
		String run = null;
		for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
			if (line.startsWith("run = ")) {
				run = line.substring("run = ".length()).replace("\"", "");
			}
		}
		ProcessBuilder builder = new ProcessBuilder(new ArrayList<>(List.of(run.split(" "))));
		builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
		builder.environment().put("BANYANSTILE_BOOT", file.toString());
		File log = this.directory.resolve(this.name + ".log").toFile();
		builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
		this.process = builder.start();
	}

	/** Waits until the VM says that it is ready. */
	boolean awaitReady(long millis) throws InterruptedException {
		long deadline = System.nanoTime() + millis * 1_000_000;
		while (System.nanoTime() < deadline) {
			if (isReady()) {
				return true;
			}
			Thread.sleep(50);
		}
		return false;
	}

	boolean isReady() {
		String[] address = ((String) this.settings.get("readiness")).split(":");
		try (Socket socket = new Socket(address[0], Integer.parseInt(address[1]))) {
			socket.setSoTimeout(1000);
			socket.getOutputStream()
				.write(Http.message("GET /ready HTTP/1.1", Map.of("Host", "ready", "Connection", "close"),
						new byte[0]));
			Http.Message answer = Http.read(new java.io.BufferedInputStream(socket.getInputStream()));
			return answer != null && answer.status() == 200;
		}
		catch (IOException ex) {
			return false;
		}
	}

	@Override
	public void close() {
		if (this.process == null) {
			return;
		}
		this.process.destroyForcibly();
		try {
			this.process.waitFor(5, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
