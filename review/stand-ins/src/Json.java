import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON: maps, lists, texts, numbers, booleans and null. */
final class Json {

	private final String text;

	private int at;

	private Json(String text) {
		this.text = text;
	}

	static Object read(String text) {
		Json json = new Json(text);
		return json.value();
	}

	@SuppressWarnings("unchecked")
	static Map<String, Object> readMap(String text) {
		return (Map<String, Object>) read(text);
	}

	private Object value() {
		skip();
		char c = this.text.charAt(this.at);
		if (c == '{') {
			return map();
		}
		if (c == '[') {
			return list();
		}
		if (c == '"') {
			return string();
		}
		int start = this.at;
		while (this.at < this.text.length() && ",]} \n\t\r".indexOf(this.text.charAt(this.at)) < 0) {
			this.at++;
		}
		String word = this.text.substring(start, this.at);
		return switch (word) {
			case "true" -> Boolean.TRUE;
			case "false" -> Boolean.FALSE;
			case "null" -> null;
			default -> Double.valueOf(word);
		};
	}

	private void skip() {
		while (Character.isWhitespace(this.text.charAt(this.at))) {
			this.at++;
		}
	}

	private boolean take(char c) {
		skip();
		if (this.text.charAt(this.at) == c) {
			this.at++;
			return true;
		}
		return false;
	}

	private Map<String, Object> map() {
		Map<String, Object> map = new LinkedHashMap<>();
		this.at++;
		while (!take('}')) {
			skip();
			String key = string();
			take(':');
			map.put(key, value());
			take(',');
		}
		return map;
	}

	private List<Object> list() {
		List<Object> list = new ArrayList<>();
		this.at++;
		while (!take(']')) {
			list.add(value());
			take(',');
		}
		return list;
	}

	private String string() {
		StringBuilder out = new StringBuilder();
		this.at++;
		while (this.text.charAt(this.at) != '"') {
			char c = this.text.charAt(this.at++);
			if (c == '\\') {
				char escaped = this.text.charAt(this.at++);
				switch (escaped) {
					case 'n' -> out.append('\n');
					case 't' -> out.append('\t');
					case 'r' -> out.append('\r');
					case 'u' -> {
						out.append((char) Integer.parseInt(this.text.substring(this.at, this.at + 4), 16));
						this.at += 4;
					}
					default -> out.append(escaped);
				}
			}
			else {
				out.append(c);
			}
		}
		this.at++;
		return out.toString();
	}

	static String write(Object value) {
		if (value instanceof Map<?, ?> map) {
			StringBuilder out = new StringBuilder("{");
			map.forEach((key, item) -> out.append((out.length() > 1) ? "," : "")
				.append(write(String.valueOf(key)))
				.append(':')
				.append(write(item)));
			return out.append('}').toString();
		}
		if (value instanceof Iterable<?> items) {
			StringBuilder out = new StringBuilder("[");
			items.forEach((item) -> out.append((out.length() > 1) ? "," : "").append(write(item)));
			return out.append(']').toString();
		}
		if (value instanceof String string) {
			return '"' + string.replace("\\", "\\\\").replace("\"", "\\\"").replace("\0", "\\u0000") + '"';
		}
		return String.valueOf(value);
	}

}
