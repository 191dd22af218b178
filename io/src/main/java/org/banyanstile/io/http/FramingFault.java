package org.banyanstile.io.http;

import java.util.Locale;

/**
 * Ways in which the framing of a response can be malformed.
 *
 * @author banyanstile contributors
 */
public enum FramingFault {

	/**
	 * The status line is malformed, or has a status that no request asks for.
	 */
	STATUS_LINE,

	/**
	 * A field line is malformed, folded, or contains a control character.
	 */
	FIELD_LINE,

	/**
	 * The content length is no number, is repeated, or is not allowed.
	 */
	CONTENT_LENGTH,

	/**
	 * The transfer coding is unknown, is repeated, or is not allowed.
	 */
	TRANSFER_ENCODING,

	/**
	 * The size line of a chunk is malformed.
	 */
	CHUNK_SIZE,

	/**
	 * A chunk has another length than its size.
	 */
	CHUNK_END,

	/**
	 * A trailer field is malformed or changes the framing.
	 */
	TRAILER,

	/**
	 * A response that has no body is followed by bytes.
	 */
	UNEXPECTED_BODY,

	/**
	 * Bytes arrived after the end of the response or without a request.
	 */
	BYTES_AFTER_END;

	/**
	 * Returns the name of the fault in logs and metrics.
	 * @return the name, for example {@code chunk-size}
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
