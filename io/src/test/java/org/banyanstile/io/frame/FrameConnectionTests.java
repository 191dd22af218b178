package org.banyanstile.io.frame;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.nullValue;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Tests for {@link FrameConnection} and {@link MessageCodec}.
 *
 * @author banyanstile contributors
 */
class FrameConnectionTests {

	private final MessageCodec codec = MessageCodec.create().register(Sample.class).registerNested(Name.class);

	private ServerSocket server;

	private Socket raw;

	private FrameConnection connection;

	@BeforeEach
	void connect() throws IOException {
		this.server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
		this.raw = new Socket(InetAddress.getLoopbackAddress(), this.server.getLocalPort());
		this.connection = FrameConnection.over(this.server.accept());
		this.connection.setReadTimeout(5000);
	}

	@AfterEach
	void close() throws IOException {
		this.connection.close();
		this.raw.close();
		this.server.close();
	}

	@Test
	void carriesRecordsWithNestedRecordsAndNulls() throws IOException {
		Sample sample = new Sample(new Name("a"), 1L << 40, null, List.of("x", "y"), true);
		try (FrameConnection peer = FrameConnection.over(this.raw)) {
			peer.send(this.codec.encode(new Message(7, sample)));
			assertThat(this.codec.decode(this.connection.receive()), equalTo(new Message(7, sample)));
		}
		assertThat(this.connection.receive(), nullValue());
	}

	@Test
	void refusesLengthsOutOfRangeWithoutAllocating() throws IOException {
		this.raw.getOutputStream().write(new byte[] { 0x7f, -1, -1, -1 });
		assertThrows(MalformedFrameException.class, this.connection::receive);
		this.raw.getOutputStream().write(new byte[] { -1, -1, -1, -1 });
		assertThrows(MalformedFrameException.class, this.connection::receive);
		assertThrows(IOException.class, () -> this.connection.send(new byte[FrameConnection.MAX_BYTES + 1]));
	}

	@Test
	void truncatedFrameIsABrokenConnection() throws IOException {
		this.raw.getOutputStream().write(new byte[] { 0, 0, 0, 9, 1, 2 });
		this.raw.shutdownOutput();
		assertThrows(IOException.class, this.connection::receive);
	}

	@Test
	void everyTruncationOrForeignTypeIsMalformed() throws IOException {
		byte[] good = this.codec.encode(new Message(7, new Sample(new Name("a"), 5, "b", List.of(), true)));
		for (int n = 0; n < good.length; n++) {
			byte[] part = java.util.Arrays.copyOf(good, n);
			assertThrows(MalformedFrameException.class, () -> this.codec.decode(part));
		}
		good[1] = 2;
		assertThrows(MalformedFrameException.class, () -> this.codec.decode(good));
		good[1] = 1;
		good[3] ^= 1;
		assertThrows(MalformedFrameException.class, () -> this.codec.decode(good));
	}

	/**
	 * A message.
	 *
	 * @param name nested record
	 * @param number number
	 * @param text text or {@code null}
	 * @param list list
	 * @param flag flag
	 * @author banyanstile contributors
	 */
	public record Sample(Name name, long number, String text, List<String> list, boolean flag) {

	}

	/**
	 * Nested record.
	 *
	 * @param value the value
	 * @author banyanstile contributors
	 */
	public record Name(String value) {

	}

}
