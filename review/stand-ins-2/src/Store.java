import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicReference;

/**
 * The platform's store: rows with versions of one counter, transactions with conditions,
 * range reads and a feed. Linearizable, 4 ms an answer. Each machine has an entrance of its
 * own, so that single machines can be turned away.
 */
final class Store {

	enum Mode {

		SERVES, BUSY, SILENT

	}

	private static final long ANSWER_MILLIS = 4;

	private record Row(String table, String key, String value, long version) {

	}

	private final Map<String, Row> rows = new TreeMap<>();

	private final long startNanos = System.nanoTime();

	private long version;

	/** Entrance of one machine. */
	final class Entrance {

		private final ServerSocket socket;

		private final AtomicReference<Mode> mode = new AtomicReference<>(Mode.SERVES);

		private Entrance() throws IOException {
			this.socket = new ServerSocket(0, 100, InetAddress.getByName("127.0.0.1"));
			Threads.start("store", this::accept);
		}

		String address() {
			return "127.0.0.1:" + this.socket.getLocalPort();
		}

		void set(Mode next) {
			this.mode.set(next);
		}

		private void accept() throws IOException {
			while (true) {
				Socket connection = this.socket.accept();
				connection.setTcpNoDelay(true);
				Threads.start("store connection", () -> serve(connection));
			}
		}

		private void serve(Socket connection) throws IOException, InterruptedException {
			try (connection) {
				InputStream in = connection.getInputStream();
				while (true) {
					Http.Message request = Http.message(in);
					Thread.sleep(ANSWER_MILLIS);
					if (this.mode.get() == Mode.SILENT) {
						continue;
					}
					Answer answer = (this.mode.get() == Mode.BUSY) ? new Answer(503, Map.of()) : respond(request);
					byte[] body = Json.write(answer.body).getBytes(StandardCharsets.UTF_8);
					String head = "HTTP/1.1 " + answer.status + " Status\r\nContent-Type: application/json\r\n"
							+ "Content-Length: " + body.length + "\r\n\r\n";
					connection.getOutputStream().write((head + new String(body, StandardCharsets.UTF_8))
						.getBytes(StandardCharsets.UTF_8));
				}
			}
		}

	}

	private record Answer(int status, Map<String, Object> body) {

	}

	Entrance entrance() throws IOException {
		return new Entrance();
	}

	/** Writes a row as the operator or a runner does; the return is the acknowledgement. */
	synchronized void put(String table, String key, String json) {
		String value = Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8));
		write(new Row(table, key, value, 0));
	}

	synchronized void remove(String table, String key) {
		write(new Row(table, key, null, 0));
	}

	private void write(Row row) {
		this.version++;
		this.rows.put(row.table + '/' + row.key, new Row(row.table, row.key, row.value, this.version));
		notifyAll();
	}

	private Answer respond(Http.Message request) throws InterruptedException {
		String[] target = request.word(1).split("\\?", 2);
		Map<String, String> query = new LinkedHashMap<>();
		if (target.length > 1) {
			for (String pair : target[1].split("&")) {
				String[] parts = pair.split("=", 2);
				query.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
			}
		}
		return switch (target[0]) {
			case "/rows-get" -> get(query);
			case "/rows-feed" -> feed(query);
			case "/rows-tx" -> transaction(new String(request.body(), StandardCharsets.UTF_8));
			default -> new Answer(404, Map.of());
		};
	}

	private synchronized Answer get(Map<String, String> query) {
		List<Object> found = new ArrayList<>();
		String from = query.getOrDefault("from", "");
		for (Row row : this.rows.values()) {
			if (row.table.equals(query.get("tableName")) && row.value != null && row.key.compareTo(from) >= 0) {
				found.add(fields(row));
			}
		}
		return new Answer(200, answer(found, false));
	}

	private synchronized Answer feed(Map<String, String> query) throws InterruptedException {
		long after = Long.parseLong(query.get("after"));
		long end = System.nanoTime() + Long.parseLong(query.get("waitMs")) * 1_000_000;
		while (true) {
			List<Row> changed = new ArrayList<>();
			for (Row row : this.rows.values()) {
				if (row.table.equals(query.get("tableName")) && row.version > after) {
					changed.add(row);
				}
			}
			long millis = (end - System.nanoTime()) / 1_000_000;
			if (!changed.isEmpty() || millis <= 0) {
				changed.sort((a, b) -> Long.compare(a.version, b.version));
				return new Answer(200, answer(new ArrayList<>(changed.stream().map(Store::fields).toList()), null));
			}
			wait(millis);
		}
	}

	private Map<String, Object> answer(List<Object> found, Boolean more) {
		Map<String, Object> body = new LinkedHashMap<>();
		body.put("rows", found);
		if (more != null) {
			body.put("hasMore", more);
		}
		body.put("recordVersion", this.version);
		body.put("nowMs", 1_000_000 + (System.nanoTime() - this.startNanos) / 1_000_000);
		return body;
	}

	private static Map<String, Object> fields(Row row) {
		Map<String, Object> fields = new LinkedHashMap<>();
		fields.put("tableName", row.table);
		fields.put("part", "");
		fields.put("key", row.key);
		fields.put("recordVersion", row.version);
		if (row.value != null) {
			fields.put("value", row.value);
		}
		else {
			fields.put("tombstone", true);
		}
		return fields;
	}

	@SuppressWarnings("unchecked")
	private synchronized Answer transaction(String text) {
		Map<String, Object> body = (Map<String, Object>) Json.read(text);
		List<Object> current = new ArrayList<>();
		boolean holds = true;
		for (Object item : (List<Object>) body.getOrDefault("expectedRev", List.of())) {
			Map<String, Object> expected = (Map<String, Object>) item;
			Row row = this.rows.get(name(expected));
			long present = (row != null && row.value != null) ? row.version : 0;
			holds &= present == ((Double) expected.get("recordVersion")).longValue();
			if (present > 0) {
				current.add(fields(row));
			}
		}
		if (!holds) {
			return new Answer(412, answer(current, null));
		}
		this.version++;
		for (Object item : (List<Object>) body.getOrDefault("put", List.of())) {
			Map<String, Object> row = (Map<String, Object>) item;
			this.rows.put(name(row), new Row((String) row.get("tableName"), (String) row.get("key"),
					(String) row.get("value"), this.version));
		}
		for (Object item : (List<Object>) body.getOrDefault("remove", List.of())) {
			Map<String, Object> row = (Map<String, Object>) item;
			this.rows.put(name(row),
					new Row((String) row.get("tableName"), (String) row.get("key"), null, this.version));
		}
		notifyAll();
		Map<String, Object> done = answer(List.of(), null);
		done.remove("rows");
		return new Answer(200, done);
	}

	private static String name(Map<String, Object> row) {
		return (String) row.get("tableName") + '/' + row.get("key");
	}

}
