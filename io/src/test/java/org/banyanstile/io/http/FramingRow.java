package org.banyanstile.io.http;

/**
 * Responses with malformed framing, by the sections of RFC 9112.
 *
 * @author banyanstile contributors
 */
enum FramingRow {

	EMPTY_LINE_FIRST("\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", FramingFault.STATUS_LINE),

	STATUS_LINE_IS_TEXT("welcome\r\n\r\n", FramingFault.STATUS_LINE),

	STATUS_LINE_OF_ANOTHER_PROTOCOL("ICY 200 OK\r\nContent-Length: 4\r\n\r\nbody", FramingFault.STATUS_LINE),

	STATUS_LINE_OF_HTTP_2("HTTP/2.0 200 OK\r\nContent-Length: 4\r\n\r\nbody", FramingFault.STATUS_LINE),

	STATUS_LINE_IN_LOWER_CASE("http/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", FramingFault.STATUS_LINE),

	STATUS_MISSING("HTTP/1.1 OK\r\nContent-Length: 4\r\n\r\nbody", FramingFault.STATUS_LINE),

	STATUS_OF_TWO_DIGITS("HTTP/1.1 20 OK\r\nContent-Length: 4\r\n\r\nbody", FramingFault.STATUS_LINE),

	STATUS_OF_FOUR_DIGITS("HTTP/1.1 2000 OK\r\nContent-Length: 4\r\n\r\nbody", FramingFault.STATUS_LINE),

	STATUS_AFTER_TWO_SPACES("HTTP/1.1  200 OK\r\nContent-Length: 4\r\n\r\nbody", FramingFault.STATUS_LINE),

	STATUS_LINE_WITH_CONTROL("HTTP/1.1 200 O\u0001K\r\nContent-Length: 4\r\n\r\nbody", FramingFault.STATUS_LINE),

	STATUS_LINE_WITH_BARE_LINE_FEED("HTTP/1.1 200 OK\nContent-Length: 4\r\n\r\nbody", FramingFault.STATUS_LINE),

	SWITCHING_PROTOCOLS("HTTP/1.1 101 Switching\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
			FramingFault.STATUS_LINE),

	EARLY_HINTS("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
			FramingFault.STATUS_LINE),

	CONTINUE_WITH_LENGTH("HTTP/1.1 100 Continue\r\nContent-Length: 4\r\n\r\nbody", FramingFault.CONTENT_LENGTH),

	FIELD_WITHOUT_COLON(head("X-Field value\r\nContent-Length: 4") + "body", FramingFault.FIELD_LINE),

	FIELD_WITHOUT_NAME(head(": value\r\nContent-Length: 4") + "body", FramingFault.FIELD_LINE),

	FIELD_NAME_WITH_SPACE(head("Content-Length : 4") + "body", FramingFault.FIELD_LINE),

	FIELD_NAME_WITH_CONTROL(head("X-Fie\u0000ld: value\r\nContent-Length: 4") + "body", FramingFault.FIELD_LINE),

	FIELD_VALUE_WITH_NUL(head("X-Field: va\u0000lue\r\nContent-Length: 4") + "body", FramingFault.FIELD_LINE),

	FIELD_VALUE_WITH_BARE_RETURN(head("X-Field: va\rlue\r\nContent-Length: 4") + "body", FramingFault.FIELD_LINE),

	FIELD_WITH_BARE_LINE_FEED(head("X-Field: value\nContent-Length: 4") + "body", FramingFault.FIELD_LINE),

	FIELD_FOLDED(head("X-Field: value\r\n more\r\nContent-Length: 4") + "body", FramingFault.FIELD_LINE),

	FIELD_FOLDED_FIRST("HTTP/1.1 200 OK\r\n X-Field: value\r\nContent-Length: 4\r\n\r\nbody", FramingFault.FIELD_LINE),

	LENGTH_FOLDED(head("Content-Length:\r\n 4") + "body", FramingFault.CONTENT_LENGTH),

	LENGTH_EMPTY(head("Content-Length:") + "body", FramingFault.CONTENT_LENGTH),

	LENGTH_SIGNED(head("Content-Length: +4") + "body", FramingFault.CONTENT_LENGTH),

	LENGTH_NEGATIVE(head("Content-Length: -4") + "body", FramingFault.CONTENT_LENGTH),

	LENGTH_HEXADECIMAL(head("Content-Length: 0x4") + "body", FramingFault.CONTENT_LENGTH),

	LENGTH_FRACTION(head("Content-Length: 4.0") + "body", FramingFault.CONTENT_LENGTH),

	LENGTH_OVERFLOW(head("Content-Length: 18446744073709551620") + "body", FramingFault.CONTENT_LENGTH),

	LENGTH_TWICE(head("Content-Length: 4\r\nContent-Length: 4") + "body", FramingFault.CONTENT_LENGTH),

	LENGTHS_DIFFERENT(head("Content-Length: 4\r\nContent-Length: 9") + "body more", FramingFault.CONTENT_LENGTH),

	LENGTH_LIST(head("Content-Length: 4, 9") + "body more", FramingFault.CONTENT_LENGTH),

	LENGTH_BESIDE_CHUNKED(head("Transfer-Encoding: chunked\r\nContent-Length: 1632") + "0\r\n\r\n",
			FramingFault.CONTENT_LENGTH),

	LENGTH_BEFORE_CHUNKED(head("Content-Length: 4\r\nTransfer-Encoding: chunked") + "4\r\nbody\r\n0\r\n\r\n",
			FramingFault.CONTENT_LENGTH),

	CODING_UNKNOWN(head("Transfer-Encoding: gzip") + "body", FramingFault.TRANSFER_ENCODING),

	CODING_EMPTY(head("Transfer-Encoding:") + "body", FramingFault.TRANSFER_ENCODING),

	CODING_MISSPELT(head("Transfer-Encoding: chunkd") + "4\r\nbody\r\n0\r\n\r\n", FramingFault.TRANSFER_ENCODING),

	CODING_IDENTITY(head("Transfer-Encoding: identity\r\nContent-Length: 4") + "body", FramingFault.TRANSFER_ENCODING),

	CODING_TWICE(head("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked") + "4\r\nbody\r\n0\r\n\r\n",
			FramingFault.TRANSFER_ENCODING),

	CODING_LIST(head("Transfer-Encoding: chunked, chunked") + "4\r\nbody\r\n0\r\n\r\n", FramingFault.TRANSFER_ENCODING),

	CODING_NOT_LAST(head("Transfer-Encoding: chunked, gzip") + "4\r\nbody\r\n0\r\n\r\n",
			FramingFault.TRANSFER_ENCODING),

	CODING_OF_HTTP_1_0("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
			FramingFault.TRANSFER_ENCODING),

	SIZE_IS_AN_ERROR(chunks("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 5\r\n\r\nerror"),
			FramingFault.CHUNK_SIZE),

	SIZE_MISSING(chunks(";name=value\r\n\r\n"), FramingFault.CHUNK_SIZE),

	SIZE_EMPTY_LINE(chunks("\r\n\r\n"), FramingFault.CHUNK_SIZE),

	SIZE_SIGNED(chunks("+4\r\nmore\r\n0\r\n\r\n"), FramingFault.CHUNK_SIZE),

	SIZE_NEGATIVE(chunks("-4\r\nmore\r\n0\r\n\r\n"), FramingFault.CHUNK_SIZE),

	SIZE_WITH_PREFIX(chunks("0x4\r\nmore\r\n0\r\n\r\n"), FramingFault.CHUNK_SIZE),

	SIZE_OVERFLOW(chunks("10000000000000000\r\n\r\n"), FramingFault.CHUNK_SIZE),

	SIZE_OVERFLOW_TO_FOUR(chunks("10000000000000004\r\nmore\r\n0\r\n\r\n"), FramingFault.CHUNK_SIZE),

	SIZE_NEGATIVE_BY_OVERFLOW(chunks("ffffffffffffffff\r\nmore\r\n0\r\n\r\n"), FramingFault.CHUNK_SIZE),

	SIZE_AFTER_SPACE(chunks(" 4\r\nmore\r\n0\r\n\r\n"), FramingFault.CHUNK_SIZE),

	SIZE_BEFORE_SPACE(chunks("4 \r\nmore\r\n0\r\n\r\n"), FramingFault.CHUNK_SIZE),

	SIZE_WITH_SPACE(chunks("0 4\r\nmore\r\n0\r\n\r\n"), FramingFault.CHUNK_SIZE),

	SIZE_NO_HEXADECIMAL(chunks("4g\r\nmore\r\n0\r\n\r\n"), FramingFault.CHUNK_SIZE),

	SIZE_WITH_BARE_LINE_FEED(chunks("4\nmore\r\n0\r\n\r\n"), FramingFault.CHUNK_SIZE),

	SIZE_WITH_BARE_RETURN(chunks("4\rmore\r\n0\r\n\r\n"), FramingFault.CHUNK_SIZE),

	EXTENSION_WITH_CONTROL(chunks("4;na\u0000me\r\nmore\r\n0\r\n\r\n"), FramingFault.CHUNK_SIZE),

	EXTENSION_WITH_BARE_LINE_FEED(chunks("4;name\nmore\r\n0\r\n\r\n"), FramingFault.CHUNK_SIZE),

	CHUNK_TOO_LONG(chunks("4\r\nmore and more\r\n0\r\n\r\n"), FramingFault.CHUNK_END),

	CHUNK_TOO_SHORT(chunks("8\r\nmore\r\n0\r\n\r\n"), FramingFault.CHUNK_END),

	CHUNK_END_MISSING(chunks("4\r\nmore0\r\n\r\n"), FramingFault.CHUNK_END),

	CHUNK_END_WITH_BARE_LINE_FEED(chunks("4\r\nmore\n0\r\n\r\n"), FramingFault.CHUNK_END),

	CHUNK_END_WITH_BARE_RETURN(chunks("4\r\nmore\r0\r\n\r\n"), FramingFault.CHUNK_END),

	TRAILER_WITHOUT_COLON(chunks("0\r\nX-Field value\r\n\r\n"), FramingFault.TRAILER),

	TRAILER_FOLDED(chunks("0\r\nX-Field: value\r\n more\r\n\r\n"), FramingFault.TRAILER),

	TRAILER_WITH_CONTROL(chunks("0\r\nX-Field: va\u0000lue\r\n\r\n"), FramingFault.TRAILER),

	TRAILER_WITH_LENGTH(chunks("0\r\nContent-Length: 9\r\n\r\n"), FramingFault.TRAILER),

	TRAILER_WITH_CODING(chunks("0\r\nTransfer-Encoding: chunked\r\n\r\n"), FramingFault.TRAILER),

	TRAILER_IS_A_RESPONSE(chunks("0\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"), FramingFault.TRAILER),

	TRAILERS_WITH_BARE_LINE_FEED(chunks("0\r\n\n"), FramingFault.TRAILER),

	NO_CONTENT_WITH_LENGTH("HTTP/1.1 204 No Content\r\nContent-Length: 4\r\n\r\nbody", FramingFault.CONTENT_LENGTH),

	NO_CONTENT_WITH_CHUNKS("HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
			FramingFault.TRANSFER_ENCODING),

	NO_CONTENT_WITH_BODY("HTTP/1.1 204 No Content\r\n\r\nbody", FramingFault.UNEXPECTED_BODY),

	NOT_MODIFIED_WITH_BODY("HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\n\r\nbody", FramingFault.UNEXPECTED_BODY),

	HEAD_WITH_BODY(head("Content-Length: 4") + "body", FramingFault.UNEXPECTED_BODY),

	HEAD_WITH_CHUNKS(head("Transfer-Encoding: chunked") + "0\r\n\r\n", FramingFault.UNEXPECTED_BODY);

	private final String response;

	private final FramingFault fault;

	FramingRow(String response, FramingFault fault) {
		this.response = response;
		this.fault = fault;
	}

	private static String head(String fields) {
		return "HTTP/1.1 200 OK\r\n" + fields + "\r\n\r\n";
	}

	private static String chunks(String rest) {
		return head("Transfer-Encoding: chunked") + "4\r\nbody\r\n" + rest;
	}

	String method() {
		return name().startsWith("HEAD_") ? "HEAD" : "GET";
	}

	String response() {
		return this.response;
	}

	FramingFault fault() {
		return this.fault;
	}

}
