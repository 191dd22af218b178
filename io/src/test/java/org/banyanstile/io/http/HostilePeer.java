package org.banyanstile.io.http;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CountDownLatch;

/**
 * Server that sends fixed bytes for the requests on a connection, in parts that a seed
 * determines, and then keeps the connection open until the client closes it.
 *
 * @author banyanstile contributors
 */
final class HostilePeer implements AutoCloseable {

	private final ServerSocket server = new ServerSocket(0);

	private final CountDownLatch closed = new CountDownLatch(1);

	private final List<String> responses;

	private final Random random;

	private final boolean split;

	private HostilePeer(List<String> responses, long seed, boolean split) throws IOException {
		this.responses = responses;
		this.random = new Random(seed);
		this.split = split;
		Thread thread = new Thread(this::serve, "hostile-peer");
		thread.setDaemon(true);
		thread.start();
	}

	static HostilePeer whole(String... responses) throws IOException {
		return new HostilePeer(List.of(responses), 0, false);
	}

	static HostilePeer split(long seed, String... responses) throws IOException {
		return new HostilePeer(List.of(responses), seed, true);
	}

	String address() {
		return "127.0.0.1:" + this.server.getLocalPort();
	}

	/**
	 * Waits until the client has closed the connection.
	 */
	void awaitClosed() throws InterruptedException {
		this.closed.await();
	}

	private void serve() {
		try (Socket socket = this.server.accept()) {
			socket.setTcpNoDelay(true);
			InputStream in = socket.getInputStream();
			for (String response : this.responses) {
				if (in.read(new byte[4096]) < 0) {
					break;
				}
				send(socket.getOutputStream(), response.getBytes(StandardCharsets.ISO_8859_1));
			}
			while (in.read() >= 0) {
				Thread.onSpinWait();
			}
		}
		catch (IOException ex) {
			// The client closed the connection.
		}
		this.closed.countDown();
	}

	private void send(OutputStream out, byte[] bytes) throws IOException {
		int begin = 0;
		while (begin < bytes.length) {
			int n = this.split ? Math.min(1 + this.random.nextInt(8), bytes.length - begin) : bytes.length;
			out.write(bytes, begin, n);
			out.flush();
			begin += n;
			Thread.yield();
		}
	}

	@Override
	public void close() throws IOException {
		this.server.close();
	}

}
