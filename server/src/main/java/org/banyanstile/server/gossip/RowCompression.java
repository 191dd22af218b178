package org.banyanstile.server.gossip;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/**
 * Compression of rows, so that a configuration fits into a datagram.
 *
 * @author banyanstile contributors
 */
final class RowCompression {

	private static final int MAX_ROW_BYTES = 1 << 20;

	private RowCompression() {
	}

	static byte[] compress(byte[] value) {
		Deflater deflater = new Deflater(Deflater.BEST_SPEED);
		try {
			deflater.setInput(value);
			deflater.finish();
			ByteArrayOutputStream out = new ByteArrayOutputStream(value.length / 2 + 64);
			byte[] chunk = new byte[4096];
			while (!deflater.finished()) {
				out.write(chunk, 0, deflater.deflate(chunk));
			}
			return out.toByteArray();
		}
		finally {
			deflater.end();
		}
	}

	static byte[] decompress(byte[] value) throws IOException {
		Inflater inflater = new Inflater();
		try {
			inflater.setInput(value);
			ByteArrayOutputStream out = new ByteArrayOutputStream(value.length * 4);
			byte[] chunk = new byte[4096];
			while (!inflater.finished()) {
				int n = inflater.inflate(chunk);
				// The only inflation of an empty row returns 0 bytes too.
				boolean truncated = n == 0 && !inflater.finished();
				if (truncated || out.size() > MAX_ROW_BYTES) {
					throw new IOException("compressed row is truncated or holds more than " + MAX_ROW_BYTES + " bytes");
				}
				out.write(chunk, 0, n);
			}
			return out.toByteArray();
		}
		catch (DataFormatException ex) {
			throw new IOException("compressed row is malformed", ex);
		}
		finally {
			inflater.end();
		}
	}

}
