import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages from a socket. */
final class Http {

	/** First line, header fields by lower-case name, and body, empty if it was not read. */
	record Message(String first, Map<String, String> headers, byte[] body) {

		String word(int index) {
			String[] words = this.first.split(" ", 3);
			return (index < words.length) ? words[index] : "";
		}

		String header(String name) {
			return this.headers.get(name);
		}

		int status() {
			return Integer.parseInt(word(1));
		}

	}

	private Http() {
	}

	static String line(InputStream in) throws IOException {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		int b = in.read();
		if (b < 0) {
			throw new EOFException("end of the connection");
		}
		while (b != '\n') {
			if (b < 0) {
				throw new EOFException("end of the connection inside a line");
			}
			if (b != '\r') {
				out.write(b);
			}
			b = in.read();
		}
		return out.toString(java.nio.charset.StandardCharsets.ISO_8859_1);
	}

	static Message head(InputStream in) throws IOException {
		String first = line(in);
		Map<String, String> headers = new LinkedHashMap<>();
		for (String line = line(in); !line.isEmpty(); line = line(in)) {
			int colon = line.indexOf(':');
			headers.merge(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip(),
					(a, b) -> a + ", " + b);
		}
		return new Message(first, headers, new byte[0]);
	}

	static Message message(InputStream in) throws IOException {
		Message head = head(in);
		return new Message(head.first(), head.headers(), body(in, head.headers()));
	}

	private static byte[] body(InputStream in, Map<String, String> headers) throws IOException {
		if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
			ByteArrayOutputStream out = new ByteArrayOutputStream();
			byte[] chunk = chunk(in);
			while (chunk.length > 0) {
				out.writeBytes(chunk);
				chunk = chunk(in);
			}
			return out.toByteArray();
		}
		return exactly(in, Integer.parseInt(headers.getOrDefault("content-length", "0")));
	}

	/** Reads one chunk; an empty one is the last. */
	static byte[] chunk(InputStream in) throws IOException {
		int size = Integer.parseInt(line(in).split(";", 2)[0].strip(), 16);
		byte[] chunk = exactly(in, size);
		line(in);
		return chunk;
	}

	private static byte[] exactly(InputStream in, int length) throws IOException {
		byte[] bytes = in.readNBytes(length);
		if (bytes.length < length) {
			throw new EOFException("end of the connection inside a body");
		}
		return bytes;
	}

}
