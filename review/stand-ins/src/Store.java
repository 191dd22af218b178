import java.io.IOException;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in of the platform's store: rows, conditional transactions and the feed of changes. */
final class Store {

	private static final int PAGE_ROWS = 500;

	private record Row(String table, String part, String key, String value, long version) {

		Map<String, Object> json() {
			Map<String, Object> json = new LinkedHashMap<>();
			json.put("tableName", this.table);
			json.put("part", this.part);
			json.put("key", this.key);
			if (this.value == null) {
				json.put("tombstone", true);
			}
			else {
				json.put("value", this.value);
			}
			json.put("recordVersion", this.version);
			return json;
		}

	}

	private final Map<String, TreeMap<String, Row>> tables = new LinkedHashMap<>();

	private final List<Row> history = new ArrayList<>();

	private final Listener listener;

	private long version = 100;

	Store(String ip) throws IOException {
		this.listener = new Listener(ip, 0, this::handle);
	}

	String address() {
		return this.listener.address();
	}

	synchronized void put(String table, String key, Object value) {
		this.version++;
		write(table, "", key,
				Base64.getEncoder().encodeToString(Json.write(value).getBytes(StandardCharsets.UTF_8)));
	}

	synchronized void remove(String table, String key) {
		this.version++;
		write(table, "", key, null);
	}

	private void write(String table, String part, String key, String value) {
		Row row = new Row(table, part, key, value, this.version);
		TreeMap<String, Row> rows = this.tables.computeIfAbsent(table, (name) -> new TreeMap<>());
		if (value == null) {
			rows.remove(key);
		}
		else {
			rows.put(key, row);
		}
		this.history.add(row);
		notifyAll();
	}

	private boolean handle(Http.Message request, Socket socket) throws Exception {
		String[] target = request.target().split("\\?", 2);
		Map<String, String> query = new LinkedHashMap<>();
		if (target.length == 2) {
			for (String field : target[1].split("&")) {
				String[] pair = field.split("=", 2);
				query.put(pair[0], URLDecoder.decode(pair[1], StandardCharsets.UTF_8));
			}
		}
		Thread.sleep(4);
		Map<String, Object> body = new LinkedHashMap<>();
		int status = switch (target[0]) {
			case "/rows-get" -> get(query, body);
			case "/rows-feed" -> feed(query, body);
			case "/rows-tx" -> transaction(Json.readMap(request.text()), body);
			default -> 404;
		};
		String head = "HTTP/1.1 " + status + ((status == 200) ? " OK" : " Error");
		socket.getOutputStream()
			.write(Http.message(head, Map.of("Content-Type", "application/json"),
					Json.write(body).getBytes(StandardCharsets.UTF_8)));
		return true;
	}

	private void stamp(Map<String, Object> body) {
		body.put("recordVersion", this.version);
		body.put("nowMs", System.nanoTime() / 1_000_000);
	}

	private synchronized int get(Map<String, String> query, Map<String, Object> body) {
		TreeMap<String, Row> rows = this.tables.getOrDefault(query.get("tableName"), new TreeMap<>());
		List<Object> found = new ArrayList<>();
		boolean more = false;
		for (Row row : rows.tailMap(query.getOrDefault("from", "")).values()) {
			more = found.size() >= PAGE_ROWS;
			if (more) {
				break;
			}
			found.add(row.json());
		}
		body.put("rows", found);
		body.put("hasMore", more);
		stamp(body);
		return 200;
	}

	private synchronized int feed(Map<String, String> query, Map<String, Object> body) throws InterruptedException {
		long after = Long.parseLong(query.get("after"));
		long deadline = System.nanoTime() + Long.parseLong(query.getOrDefault("waitMs", "0")) * 1_000_000;
		List<Object> rows = changes(query.get("tableName"), after);
		while (rows.isEmpty() && deadline - System.nanoTime() > 1_000_000) {
			wait((deadline - System.nanoTime()) / 1_000_000);
			rows = changes(query.get("tableName"), after);
		}
		body.put("rows", rows);
		stamp(body);
		return 200;
	}

	private List<Object> changes(String table, long after) {
		List<Object> rows = new ArrayList<>();
		for (int i = this.history.size() - 1; i >= 0 && this.history.get(i).version() > after; i--) {
			if (this.history.get(i).table().equals(table)) {
				rows.add(0, this.history.get(i).json());
			}
		}
		return rows;
	}

	@SuppressWarnings("unchecked")
	private synchronized int transaction(Map<String, Object> entries, Map<String, Object> body) {
		List<Object> current = new ArrayList<>();
		boolean holds = true;
		for (Object entry : (List<Object>) entries.getOrDefault("expectedRev", List.of())) {
			Map<String, Object> expected = (Map<String, Object>) entry;
			Row row = this.tables.getOrDefault(expected.get("tableName"), new TreeMap<>()).get(expected.get("key"));
			long version = (row != null) ? row.version() : 0;
			holds &= version == ((Double) expected.get("recordVersion")).longValue();
			if (row != null) {
				current.add(row.json());
			}
		}
		if (!holds) {
			body.put("rows", current);
			stamp(body);
			return 412;
		}
		this.version++;
		for (Object entry : (List<Object>) entries.getOrDefault("put", List.of())) {
			Map<String, Object> row = (Map<String, Object>) entry;
			write((String) row.get("tableName"), (String) row.get("part"), (String) row.get("key"),
					(String) row.get("value"));
		}
		for (Object entry : (List<Object>) entries.getOrDefault("remove", List.of())) {
			Map<String, Object> row = (Map<String, Object>) entry;
			write((String) row.get("tableName"), (String) row.get("part"), (String) row.get("key"), null);
		}
		stamp(body);
		return 200;
	}

}
