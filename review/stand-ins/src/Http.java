import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** HTTP/1.1 messages on a socket. */
final class Http {

	/** A message: its first line, header fields by lower-case name, and body. */
	record Message(String start, Map<String, String> headers, byte[] body) {

		String header(String name) {
			return this.headers.get(name.toLowerCase(Locale.ROOT));
		}

		String method() {
			return this.start.split(" ", 3)[0];
		}

		String target() {
			return this.start.split(" ", 3)[1];
		}

		int status() {
			return Integer.parseInt(this.start.split(" ", 3)[1]);
		}

		String text() {
			return new String(this.body, StandardCharsets.UTF_8);
		}

	}

	private Http() {
	}

	/** Reads a message, or returns null if the peer closed the connection before it. */
	static Message read(BufferedInputStream in) throws IOException {
		String start = line(in);
		if (start == null) {
			return null;
		}
		Map<String, String> headers = new LinkedHashMap<>();
		for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
			int colon = line.indexOf(':');
			headers.put(line.substring(0, colon).strip().toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
		}
		byte[] body = new byte[0];
		if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
			body = chunks(in);
		}
		else if (headers.containsKey("content-length")) {
			body = exactly(in, Integer.parseInt(headers.get("content-length")));
		}
		return new Message(start, headers, body);
	}

	private static byte[] chunks(BufferedInputStream in) throws IOException {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		while (true) {
			String size = line(in);
			if (size == null) {
				throw new EOFException("the chunks end early");
			}
			int n = Integer.parseInt(size.split(";", 2)[0].strip(), 16);
			out.writeBytes(exactly(in, n));
			line(in);
			if (n == 0) {
				return out.toByteArray();
			}
		}
	}

	private static byte[] exactly(InputStream in, int n) throws IOException {
		byte[] bytes = in.readNBytes(n);
		if (bytes.length < n) {
			throw new EOFException("the body ends after " + bytes.length + " of " + n + " bytes");
		}
		return bytes;
	}

	private static String line(InputStream in) throws IOException {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		for (int b = in.read(); b >= 0; b = in.read()) {
			if (b == '\n') {
				return out.toString(StandardCharsets.ISO_8859_1).replace("\r", "");
			}
			out.write(b);
		}
		if (out.size() > 0) {
			throw new EOFException("the head ends early");
		}
		return null;
	}

	static byte[] message(String start, Map<String, String> headers, byte[] body) {
		StringBuilder head = new StringBuilder(start).append("\r\n");
		headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
		head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		out.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
		out.writeBytes(body);
		return out.toByteArray();
	}

}
