import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

/** Stand-in of a runner of a plain service. It registers itself in the store. */
class Runner implements AutoCloseable {

	static final long HEARTBEAT_MILLIS = 1200;

	private static final int SLOTS = 6;

	private static final int QUEUE = 24;

	private static final long REMOVED_AFTER_MILLIS = 3 * HEARTBEAT_MILLIS;

	final String id;

	final String service;

	final Record record;

	final Listener listener;

	private final Store store;

	private final String dataCentre;

	private final long workMillis;

	private final Semaphore places = new Semaphore(SLOTS + QUEUE);

	private final Semaphore slots = new Semaphore(SLOTS, true);

	private final long born = System.currentTimeMillis();

	private volatile boolean ended;

	private int sequence;

	Runner(String id, String service, String ip, int port, String dataCentre, long workMillis, Store store,
			Record record) throws IOException {
		this.id = id;
		this.service = service;
		this.dataCentre = dataCentre;
		this.workMillis = workMillis;
		this.store = store;
		this.record = record;
		this.listener = new Listener(ip, port, this::handle);
		Listener.thread("heartbeat-" + id, this::beat);
	}

	private void beat() {
		while (!this.ended) {
			register();
			try {
				Thread.sleep(HEARTBEAT_MILLIS);
			}
			catch (InterruptedException ex) {
				return;
			}
		}
	}

	private synchronized void register() {
		if (this.ended) {
			return;
		}
		Map<String, Object> entry = new LinkedHashMap<>();
		entry.put("service", this.service);
		entry.put("address", this.listener.address());
		entry.put("zone", this.dataCentre);
		entry.put("version", "v1");
		entry.put("capacity", SLOTS);
		entry.put("state", "ready");
		entry.put("coldLeftMs", 0);
		entry.put("born", this.born);
		entry.put("sequence", ++this.sequence);
		this.store.put("servers", this.id, entry);
	}

	boolean handle(Http.Message request, Socket socket) throws Exception {
		String attempt = request.header("X-Attempt-Id");
		String expected = request.header("X-Expect-Instance");
		if (expected != null && !expected.equals(this.id)) {
			return misdirected(request, socket);
		}
		if (!this.places.tryAcquire()) {
			answer(socket, "503 Service Unavailable", attempt, Map.of("X-Not-Executed", "1"), "");
			return true;
		}
		try {
			this.slots.acquire();
			try {
				return run(request, attempt, socket);
			}
			finally {
				this.slots.release();
			}
		}
		finally {
			this.places.release();
		}
	}

	boolean misdirected(Http.Message request, Socket socket) throws Exception {
		answer(socket, "421 Misdirected Request", request.header("X-Attempt-Id"),
				Map.of("X-Instance-Id", this.id, "X-Not-Executed", "1"), "");
		return true;
	}

	boolean run(Http.Message request, String attempt, Socket socket) throws Exception {
		this.record.ran(this.id, attempt, request);
		work();
		if (this.ended) {
			return false;
		}
		answer(socket, "200 OK", attempt, Map.of("X-Response-Seal", "seal-" + attempt), body(attempt));
		return true;
	}

	void work() throws InterruptedException {
		TimeUnit.MILLISECONDS.sleep(this.workMillis / 2 + (long) (Math.random() * this.workMillis));
	}

	/** Returns the whole body that belongs to a request. */
	static String body(String attempt) {
		return (attempt + ' ').repeat(48);
	}

	void answer(Socket socket, String status, String attempt, Map<String, String> more, String body)
			throws IOException {
		socket.getOutputStream().write(message(status, attempt, more, body));
	}

	static byte[] message(String status, String attempt, Map<String, String> more, String body) {
		Map<String, String> headers = new LinkedHashMap<>(more);
		if (attempt != null) {
			headers.put("X-Attempt-Id", attempt);
		}
		return Http.message("HTTP/1.1 " + status, headers, body.getBytes(StandardCharsets.UTF_8));
	}

	/** Crashes the runner. Its entry is removed after three heartbeats of silence. */
	void crash() {
		synchronized (this) {
			this.ended = true;
		}
		this.listener.close();
		Listener.thread("expiry-" + this.id, () -> {
			try {
				Thread.sleep(REMOVED_AFTER_MILLIS);
			}
			catch (InterruptedException ex) {
				return;
			}
			this.store.remove("servers", this.id);
		});
	}

	@Override
	public void close() {
		synchronized (this) {
			this.ended = true;
		}
		this.listener.close();
	}

}
