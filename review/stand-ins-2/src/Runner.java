import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A runner that follows the protocol; what it does with a request is given. */
final class Runner {

	/** Serves one request that was read completely. */
	interface Work {

		/** Returns whether the connection can be kept. */
		boolean serve(Runner runner, Http.Message request, OutputStream out) throws Exception;

	}

	final String id;

	final String service;

	final String zone;

	final String phase;

	private final ServerSocket socket;

	private final Work work;

	private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

	final AtomicInteger running = new AtomicInteger();

	private final long born = System.currentTimeMillis();

	private final AtomicInteger writes = new AtomicInteger();

	volatile boolean leaving;

	volatile boolean ended;

	Runner(String id, String service, String zone, String phase, Work work) throws IOException {
		this.id = id;
		this.service = service;
		this.zone = zone;
		this.phase = phase;
		this.work = work;
		this.socket = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
		Threads.start("runner", this::accept);
	}

	String address() {
		return "127.0.0.1:" + this.socket.getLocalPort();
	}

	/** Returns the entry of this runner in the store. */
	String entry(String state) {
		return "{\"service\":\"" + this.service + "\",\"address\":\"" + address() + "\",\"zone\":\"" + this.zone
				+ "\",\"version\":\"1\",\"capacity\":16,\"state\":\"" + state
				+ "\",\"coldLeftMs\":0,\"sequence\":" + this.writes.incrementAndGet() + ",\"born\":" + this.born
				+ ((this.phase != null) ? ",\"phase\":\"" + this.phase
						+ "\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}]" : "")
				+ "}";
	}

	private void accept() throws IOException {
		while (true) {
			Socket connection = this.socket.accept();
			connection.setTcpNoDelay(true);
			this.connections.add(connection);
			Threads.start("runner connection", () -> serve(connection));
		}
	}

	private void serve(Socket connection) throws Exception {
		try (connection) {
			InputStream in = connection.getInputStream();
			OutputStream out = connection.getOutputStream();
			boolean kept = true;
			while (kept) {
				Http.Message request = Http.message(in);
				String instance = request.header("x-expect-instance");
				if (instance != null && !instance.equals(this.id)) {
					out.write(("HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: " + this.id
							+ "\r\nContent-Length: 0\r\n\r\n").getBytes());
					continue;
				}
				this.running.incrementAndGet();
				try {
					kept = this.work.serve(this, request, out);
				}
				finally {
					this.running.decrementAndGet();
				}
			}
		}
		finally {
			this.connections.remove(connection);
		}
	}

	static String seal(Http.Message request) {
		return "seal-" + request.header("x-attempt-id");
	}

	/** Writes a complete answer with the fields that every answer of a runner has. */
	void answer(OutputStream out, Http.Message request, String status, String more, String body) throws IOException {
		String id = request.header("x-attempt-id");
		out.write(("HTTP/1.1 " + status + "\r\n" + ((id != null) ? "X-Attempt-Id: " + id + "\r\n" : "") + more
				+ "Content-Length: " + body.length() + "\r\n\r\n" + body).getBytes());
	}

	/** Ends the process of the runner: its connections break. */
	void end() throws IOException {
		this.ended = true;
		this.socket.close();
		for (Socket connection : this.connections) {
			connection.setSoLinger(true, 0);
			connection.close();
		}
	}

}
