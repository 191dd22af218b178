package org.banyanstile.core.store;

import java.util.Map;

/**
 * Typed access to the decoded fields of a row.
 *
 * @param values the decoded fields
 * @author banyanstile contributors
 */
public record Fields(Map<String, Object> values) {

	/**
	 * Decodes a row.
	 * @param row the row
	 * @param codec the codec
	 * @return its fields
	 * @throws IllegalArgumentException if the value is malformed
	 */
	public static Fields of(Row row, RowCodec codec) {
		return new Fields(codec.decode(row.value()));
	}

	/**
	 * Returns a text field.
	 * @param name the field name
	 * @return the text
	 * @throws IllegalArgumentException if the field is absent or not text
	 */
	public String text(String name) {
		if (this.values.get(name) instanceof String text) {
			return text;
		}
		throw new IllegalArgumentException("row field '" + name + "' is not text");
	}

	/**
	 * Returns a numeric field.
	 * @param name the field name
	 * @return the number
	 * @throws IllegalArgumentException if the field is absent or not a number
	 */
	public long number(String name) {
		if (this.values.get(name) instanceof Number number) {
			return number.longValue();
		}
		throw new IllegalArgumentException("row field '" + name + "' is not a number");
	}

}
