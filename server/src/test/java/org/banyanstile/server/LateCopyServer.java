package org.banyanstile.server;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * HTTP server that sends a second copy of each response where the next response on its
 * connection is due.
 *
 * @author banyanstile contributors
 */
public final class LateCopyServer implements AutoCloseable {

	/**
	 * Head and body of every request.
	 */
	public final List<String> received = new CopyOnWriteArrayList<>();

	private final AtomicInteger connections = new AtomicInteger();

	private final ServerSocket socket;

	private final Behaviour behaviour;

	private LateCopyServer(ServerSocket socket, Behaviour behaviour) {
		this.socket = socket;
		this.behaviour = behaviour;
	}

	/**
	 * Starts a server.
	 * @param behaviour responds to the requests
	 * @return the server
	 * @throws IOException if no port can be bound
	 */
	public static LateCopyServer start(Behaviour behaviour) throws IOException {
		LateCopyServer server = new LateCopyServer(new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1")),
				behaviour);
		daemon(server::accept);
		return server;
	}

	private static void daemon(Runnable body) {
		Thread thread = new Thread(body, "late-copy-server");
		thread.setDaemon(true);
		thread.start();
	}

	/**
	 * Returns a response.
	 * @param status status code and reason
	 * @param body the body
	 * @return the response
	 */
	public static String response(String status, String body) {
		return response(status, "", body);
	}

	/**
	 * Returns a response with header fields.
	 * @param status status code and reason
	 * @param fields the fields, each with its line end
	 * @param body the body
	 * @return the response
	 */
	public static String response(String status, String fields, String body) {
		return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + body.length() + "\r\n\r\n" + body;
	}

	/**
	 * Returns the address.
	 * @return the address as {@code ip:port}
	 */
	public String address() {
		return "127.0.0.1:" + this.socket.getLocalPort();
	}

	/**
	 * Returns the number of open connections.
	 * @return the number
	 */
	public int connections() {
		return this.connections.get();
	}

	/**
	 * Waits until all connections are closed.
	 * @param server the server
	 * @return whether they are closed within 2 s
	 */
	public static boolean awaitNoConnection(LateCopyServer server) {
		return TestVm.await(2000, () -> server.connections() == 0);
	}

	private void accept() {
		while (!this.socket.isClosed()) {
			try {
				Socket accepted = this.socket.accept();
				daemon(() -> serve(accepted));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket accepted) {
		this.connections.incrementAndGet();
		try (accepted) {
			InputStream in = new BufferedInputStream(accepted.getInputStream());
			String copy = "";
			String request = read(in);
			while (!request.isEmpty()) {
				this.received.add(request);
				String response = this.behaviour.respond(request);
				if (response == null) {
					accepted.setSoLinger(true, 0);
					return;
				}
				accepted.getOutputStream().write((copy + response).getBytes(StandardCharsets.ISO_8859_1));
				copy = response;
				request = read(in);
			}
		}
		catch (IOException ex) {
			// The other side has closed the connection.
		}
		finally {
			this.connections.decrementAndGet();
		}
	}

	private static String read(InputStream in) throws IOException {
		ByteArrayOutputStream head = new ByteArrayOutputStream();
		while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
			int b = in.read();
			if (b < 0) {
				return "";
			}
			head.write(b);
		}
		String text = head.toString(StandardCharsets.ISO_8859_1);
		String length = text.replaceAll("(?is).*\r\ncontent-length: *(\\d+).*", "$1");
		byte[] body = in.readNBytes(length.equals(text) ? 0 : Integer.parseInt(length));
		return text + new String(body, StandardCharsets.ISO_8859_1);
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

	/**
	 * Responds to a request.
	 *
	 * @author banyanstile contributors
	 */
	@FunctionalInterface
	public interface Behaviour {

		/**
		 * Responds to a request.
		 * @param request head and body
		 * @return the response, or {@code null} to reset the connection
		 */
		String respond(String request);

	}

}
