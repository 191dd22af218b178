package org.banyanstile.io.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.regex.Pattern;

import org.jspecify.annotations.Nullable;

/**
 * Checks the framing of the responses on a connection by RFC 9112 while their bytes
 * arrive. Undertow's parser takes a chunk size without digits for 0 and does not compare
 * the fields that delimit a body, so it can end a response where the peer did not.
 * <p>
 * Used on the I/O thread of the connection, except for {@link #fault()}.
 *
 * @author banyanstile contributors
 */
final class ResponseFraming {

	private static final int MAX_LINE_BYTES = (int) ResponseOverhead.MAX_BYTES;

	/**
	 * Undertow keeps the state of its chunk reader in the upper byte of the size.
	 */
	private static final int MAX_SIZE_DIGITS = 14;

	private static final int HEXADECIMAL = 16;

	/**
	 * Beginning of a status line, in which a question mark stands for the digit of a
	 * supported version and a number sign for any digit.
	 */
	private static final String STATUS_LINE = "HTTP/1.? ### ";

	private static final int VERSION = STATUS_LINE.indexOf('?');

	private static final int STATUS = STATUS_LINE.indexOf('#');

	private static final int STATUS_END = STATUS + 3;

	private static final String NAME_CHARACTERS = "!#$%&'*+-.^_`|~";

	// Numbers of 18 digits fit into a long.
	private static final Pattern LENGTH = Pattern.compile("[0-9]{1,18}");

	private static final String CONTENT_LENGTH = "content-length";

	private static final String TRANSFER_ENCODING = "transfer-encoding";

	private static final byte DELETE = 0x7f;

	private static final int CONTINUE = 100;

	private static final int OK = 200;

	private static final int MAX_STATUS = 599;

	private static final int NO_CONTENT = 204;

	private static final int NOT_MODIFIED = 304;

	private final ByteArrayOutputStream line = new ByteArrayOutputStream();

	private State state = State.ENDED;

	private boolean headRequest;

	private int status;

	private boolean http10;

	// The content length, or -1 if there is none.
	private long length;

	private boolean chunked;

	private boolean bodyAllowed = true;

	private int nameLength;

	private int sizeDigits;

	// Bytes until the end of the chunk or body.
	private long remaining;

	private volatile @Nullable FramingFault fault;

	/**
	 * Starts the check of the response to a request.
	 * @param method method of the request
	 */
	void begin(String method) {
		this.headRequest = method.equals("HEAD");
		startHead();
	}

	private void startHead() {
		this.length = -1;
		this.chunked = false;
		this.bodyAllowed = true;
		this.state = State.STATUS_LINE;
	}

	/**
	 * Returns whether the response is complete if the connection ends here.
	 * @return whether it is
	 */
	boolean isComplete() {
		if (this.fault != null) {
			return this.fault == FramingFault.BYTES_AFTER_END;
		}
		return this.state == State.ENDED || this.state == State.UNTIL_CLOSE;
	}

	/**
	 * Returns whether the response marks its end, so that the end of the connection does
	 * not.
	 * @return whether it does
	 */
	boolean isDelimited() {
		return this.state != State.UNTIL_CLOSE;
	}

	/**
	 * Returns whether the response has ended with its head, since its status or the
	 * method of its request allow no body.
	 * @return whether it has
	 */
	boolean isCompleteWithoutBody() {
		return isComplete() && !this.bodyAllowed;
	}

	/**
	 * Returns the first fault on the connection, which must not be used any more.
	 * @return the fault, or {@code null}
	 */
	@Nullable
	FramingFault fault() {
		return this.fault;
	}

	/**
	 * Checks bytes that arrived.
	 * @param bytes buffer with the bytes
	 * @param from index of the first byte
	 * @param to index after the last byte
	 * @return index after the last valid byte, less than {@code to} if there is a fault
	 */
	int accept(ByteBuffer bytes, int from, int to) {
		int i = from;
		while (i < to && this.state != State.UNTIL_CLOSE) {
			if (this.state == State.DATA) {
				i += skipData(to - i);
				continue;
			}
			FramingFault found = check(bytes.get(i));
			if (found == null && this.state == State.ENDED && !this.bodyAllowed && i + 1 < to) {
				found = FramingFault.UNEXPECTED_BODY;
			}
			if (found != null) {
				this.fault = found;
				return i;
			}
			i++;
		}
		return to;
	}

	private int skipData(int available) {
		int n = (int) Math.min(this.remaining, available);
		this.remaining -= n;
		if (this.remaining == 0) {
			this.state = this.chunked ? State.DATA_CR : State.ENDED;
		}
		return n;
	}

	private @Nullable FramingFault check(byte b) {
		return switch (this.state) {
			case STATUS_LINE, FIELD_LINE, TRAILER_LINE -> checkLine(b);
			case STATUS_LF, FIELD_LF -> checkLineFeed(b, State.FIELD_LINE);
			case HEAD_LF -> checkLineFeed(b, bodyState());
			case SIZE -> checkSize(b);
			case SIZE_SPACE -> checkSpaceAfterSize(b);
			case EXTENSION -> checkExtension(b);
			case SIZE_LF -> checkLineFeed(b, (this.remaining > 0) ? State.DATA : State.TRAILER_LINE);
			case DATA_CR -> {
				this.state = State.DATA_LF;
				yield (b == '\r') ? null : FramingFault.CHUNK_END;
			}
			case DATA_LF -> {
				startSize();
				yield (b == '\n') ? null : FramingFault.CHUNK_END;
			}
			case TRAILER_LF -> checkLineFeed(b, State.TRAILER_LINE);
			case TRAILERS_LF -> checkLineFeed(b, State.ENDED);
			case DATA, UNTIL_CLOSE, ENDED ->
				this.bodyAllowed ? FramingFault.BYTES_AFTER_END : FramingFault.UNEXPECTED_BODY;
		};
	}

	private @Nullable FramingFault checkLineFeed(byte b, State next) {
		FramingFault malformed = this.state.malformed;
		this.state = next;
		return (b == '\n') ? null : malformed;
	}

	private @Nullable FramingFault checkLine(byte b) {
		if (b == '\r') {
			String text = this.line.toString(StandardCharsets.ISO_8859_1);
			this.line.reset();
			return switch (this.state) {
				case STATUS_LINE -> checkStatusLine(text);
				case FIELD_LINE -> text.isEmpty() ? checkHead() : checkField(text);
				default -> checkTrailer(text);
			};
		}
		boolean valid = (this.state == State.STATUS_LINE) ? isStatusLine(b) : isField(b);
		this.line.write(b);
		return (valid && this.line.size() <= MAX_LINE_BYTES) ? null : this.state.malformed;
	}

	private boolean isStatusLine(byte b) {
		int position = this.line.size();
		if (position >= STATUS_LINE.length()) {
			return isText(b);
		}
		return switch (STATUS_LINE.charAt(position)) {
			case '?' -> b == '0' || b == '1';
			case '#' -> b >= '0' && b <= '9';
			default -> b == STATUS_LINE.charAt(position);
		};
	}

	private boolean isField(byte b) {
		if (this.nameLength > 0) {
			return isText(b);
		}
		if (b == ':') {
			this.nameLength = this.line.size();
			return this.nameLength > 0;
		}
		return b >= 0 && ((b < DELETE && Character.isLetterOrDigit(b)) || NAME_CHARACTERS.indexOf(b) >= 0);
	}

	private static boolean isText(byte b) {
		return b == '\t' || (b != DELETE && Byte.toUnsignedInt(b) >= ' ');
	}

	private @Nullable FramingFault checkStatusLine(String text) {
		if (text.length() < STATUS_END) {
			return FramingFault.STATUS_LINE;
		}
		this.http10 = text.charAt(VERSION) == '0';
		this.status = Integer.parseInt(text, STATUS, STATUS_END, 10);
		this.state = State.STATUS_LF;
		return (this.status == CONTINUE || (this.status >= OK && this.status <= MAX_STATUS)) ? null
				: FramingFault.STATUS_LINE;
	}

	private @Nullable FramingFault checkField(String text) {
		String name = fieldName(text);
		if (name == null) {
			return FramingFault.FIELD_LINE;
		}
		this.state = State.FIELD_LF;
		String value = text.substring(name.length() + 1).strip();
		return switch (name) {
			case CONTENT_LENGTH -> checkContentLength(value);
			case TRANSFER_ENCODING -> checkTransferEncoding(value);
			default -> null;
		};
	}

	// Returns the name of the field in the line, or null if there is none.
	private @Nullable String fieldName(String text) {
		int end = this.nameLength;
		this.nameLength = 0;
		return (end > 0) ? text.substring(0, end).toLowerCase(Locale.ROOT) : null;
	}

	private @Nullable FramingFault checkContentLength(String value) {
		if (this.length >= 0 || !LENGTH.matcher(value).matches()) {
			return FramingFault.CONTENT_LENGTH;
		}
		this.length = Long.parseLong(value);
		return null;
	}

	private @Nullable FramingFault checkTransferEncoding(String value) {
		if (this.chunked || this.http10 || !value.equalsIgnoreCase("chunked")) {
			return FramingFault.TRANSFER_ENCODING;
		}
		this.chunked = true;
		return null;
	}

	private @Nullable FramingFault checkHead() {
		boolean withoutFields = this.status == CONTINUE || this.status == NO_CONTENT;
		this.state = State.HEAD_LF;
		this.bodyAllowed = !withoutFields && this.status != NOT_MODIFIED && !this.headRequest;
		if (this.chunked && withoutFields) {
			return FramingFault.TRANSFER_ENCODING;
		}
		boolean forbidden = this.length >= 0 && this.chunked || this.length > 0 && withoutFields;
		return forbidden ? FramingFault.CONTENT_LENGTH : null;
	}

	private State bodyState() {
		if (this.status == CONTINUE) {
			startHead();
			return State.STATUS_LINE;
		}
		if (!this.bodyAllowed || (this.length == 0 && !this.chunked)) {
			return State.ENDED;
		}
		if (this.chunked) {
			startSize();
			return State.SIZE;
		}
		this.remaining = this.length;
		return (this.length > 0) ? State.DATA : State.UNTIL_CLOSE;
	}

	private void startSize() {
		this.remaining = 0;
		this.sizeDigits = 0;
		this.state = State.SIZE;
	}

	private @Nullable FramingFault checkSize(byte b) {
		int digit = (b >= 0) ? Character.digit(b, HEXADECIMAL) : -1;
		if (digit >= 0) {
			this.sizeDigits++;
			this.remaining = this.remaining * HEXADECIMAL + digit;
			return (this.sizeDigits <= MAX_SIZE_DIGITS) ? null : FramingFault.CHUNK_SIZE;
		}
		return (this.sizeDigits > 0) ? checkSpaceAfterSize(b) : FramingFault.CHUNK_SIZE;
	}

	// Recipients must accept white space before an extension, but not at the end of the
	// line.
	private @Nullable FramingFault checkSpaceAfterSize(byte b) {
		if (b == '\r' && this.state == State.SIZE) {
			this.state = State.SIZE_LF;
			return null;
		}
		this.state = (b == ';') ? State.EXTENSION : State.SIZE_SPACE;
		return (b == ';' || b == ' ' || b == '\t') ? null : FramingFault.CHUNK_SIZE;
	}

	private @Nullable FramingFault checkExtension(byte b) {
		if (b == '\r') {
			this.state = State.SIZE_LF;
			return null;
		}
		return isText(b) ? null : FramingFault.CHUNK_SIZE;
	}

	private @Nullable FramingFault checkTrailer(String text) {
		if (text.isEmpty()) {
			this.state = State.TRAILERS_LF;
			return null;
		}
		String name = fieldName(text);
		this.state = State.TRAILER_LF;
		boolean valid = name != null && !name.equals(CONTENT_LENGTH) && !name.equals(TRANSFER_ENCODING);
		return valid ? null : FramingFault.TRAILER;
	}

	/**
	 * Part of a response that the next byte belongs to. The line feeds have states of
	 * their own, since the parser may act on the carriage return before them.
	 */
	private enum State {

		STATUS_LINE(FramingFault.STATUS_LINE), STATUS_LF(FramingFault.STATUS_LINE),

		FIELD_LINE(FramingFault.FIELD_LINE), FIELD_LF(FramingFault.FIELD_LINE), HEAD_LF(FramingFault.FIELD_LINE),

		SIZE(FramingFault.CHUNK_SIZE), SIZE_SPACE(FramingFault.CHUNK_SIZE), EXTENSION(FramingFault.CHUNK_SIZE),

		SIZE_LF(FramingFault.CHUNK_SIZE),

		DATA(FramingFault.CHUNK_END), DATA_CR(FramingFault.CHUNK_END), DATA_LF(FramingFault.CHUNK_END),

		TRAILER_LINE(FramingFault.TRAILER), TRAILER_LF(FramingFault.TRAILER), TRAILERS_LF(FramingFault.TRAILER),

		UNTIL_CLOSE(FramingFault.BYTES_AFTER_END), ENDED(FramingFault.BYTES_AFTER_END);

		private final FramingFault malformed;

		State(FramingFault malformed) {
			this.malformed = malformed;
		}

	}

}
