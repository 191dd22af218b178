package org.banyanstile.core.store;

import java.util.Map;

/**
 * Conversion between the fields of a record and the JSON text of a row. The library has
 * no JSON parser, so the embedding program supplies the codec.
 *
 * @author banyanstile contributors
 */
public interface RowCodec {

	/**
	 * Renders fields as JSON text.
	 * @param fields field values, each a {@link String}, {@link Long} or {@link Integer}
	 * @return the JSON text of one object
	 */
	String encode(Map<String, Object> fields);

	/**
	 * Parses JSON text.
	 * @param value the JSON text of one object
	 * @return its fields; whole numbers as {@link Number}, text as {@link String}
	 * @throws IllegalArgumentException if the text is not a JSON object
	 */
	Map<String, Object> decode(String value);

}
