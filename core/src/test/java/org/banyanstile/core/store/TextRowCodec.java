package org.banyanstile.core.store;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Row codec for tests: one line per field, {@code name=s:text} or {@code name=n:number}.
 *
 * @author banyanstile contributors
 */
public final class TextRowCodec implements RowCodec {

	@Override
	public String encode(Map<String, Object> fields) {
		StringBuilder out = new StringBuilder();
		fields.forEach((name, value) -> out.append(name)
			.append((value instanceof Number) ? "=n:" : "=s:")
			.append(value)
			.append('\n'));
		return out.toString();
	}

	@Override
	public Map<String, Object> decode(String value) {
		Map<String, Object> fields = new LinkedHashMap<>();
		value.lines().forEach((line) -> {
			int i = line.indexOf('=');
			String text = line.substring(i + 3);
			fields.put(line.substring(0, i), (line.charAt(i + 1) == 'n') ? (Object) Long.valueOf(text) : text);
		});
		return fields;
	}

}
