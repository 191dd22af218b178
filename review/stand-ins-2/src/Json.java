import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON as maps, lists, strings, doubles, booleans and null. */
final class Json {

	private final String text;

	private int at;

	private Json(String text) {
		this.text = text;
	}

	static Object read(String text) {
		return new Json(text).value();
	}

	private char next() {
		while (Character.isWhitespace(this.text.charAt(this.at))) {
			this.at++;
		}
		return this.text.charAt(this.at);
	}

	private Object value() {
		char c = next();
		if (c == '{') {
			Map<String, Object> map = new LinkedHashMap<>();
			this.at++;
			while (next() != '}') {
				String key = string();
				next();
				this.at++;
				map.put(key, value());
				if (next() == ',') {
					this.at++;
				}
			}
			this.at++;
			return map;
		}
		if (c == '[') {
			List<Object> list = new ArrayList<>();
			this.at++;
			while (next() != ']') {
				list.add(value());
				if (next() == ',') {
					this.at++;
				}
			}
			this.at++;
			return list;
		}
		if (c == '"') {
			return string();
		}
		int from = this.at;
		while (this.at < this.text.length() && ",]} \n\r\t".indexOf(this.text.charAt(this.at)) < 0) {
			this.at++;
		}
		String word = this.text.substring(from, this.at);
		return switch (word) {
			case "true" -> true;
			case "false" -> false;
			case "null" -> null;
			default -> Double.valueOf(word);
		};
	}

	private String string() {
		next();
		StringBuilder out = new StringBuilder();
		for (this.at++; this.text.charAt(this.at) != '"'; this.at++) {
			char c = this.text.charAt(this.at);
			if (c != '\\') {
				out.append(c);
				continue;
			}
			c = this.text.charAt(++this.at);
			switch (c) {
				case 'n' -> out.append('\n');
				case 'r' -> out.append('\r');
				case 't' -> out.append('\t');
				case 'b' -> out.append('\b');
				case 'f' -> out.append('\f');
				case 'u' -> {
					out.append((char) Integer.parseInt(this.text.substring(this.at + 1, this.at + 5), 16));
					this.at += 4;
				}
				default -> out.append(c);
			}
		}
		this.at++;
		return out.toString();
	}

	static String write(Object value) {
		if (value instanceof Map<?, ?> map) {
			List<String> parts = new ArrayList<>();
			map.forEach((key, item) -> parts.add(write(key) + ':' + write(item)));
			return '{' + String.join(",", parts) + '}';
		}
		if (value instanceof List<?> list) {
			return '[' + String.join(",", list.stream().map(Json::write).toList()) + ']';
		}
		if (value instanceof String text) {
			return '"' + text.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n") + '"';
		}
		return String.valueOf(value);
	}

}
