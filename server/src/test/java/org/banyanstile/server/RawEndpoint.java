package org.banyanstile.server;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Endpoint whose responses a test writes byte by byte. It is a plain service, and an
 * engine whose prefills and transfers succeed.
 *
 * @author banyanstile contributors
 */
final class RawEndpoint implements AutoCloseable {

	private static final String CHUNKED_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

	private final ServerSocket socket;

	private final AtomicInteger requests = new AtomicInteger();

	private final AtomicInteger responding = new AtomicInteger();

	private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

	private volatile Behaviour behaviour = (request, connection) -> {
	};

	private RawEndpoint(ServerSocket socket) {
		this.socket = socket;
	}

	static RawEndpoint start() throws IOException {
		RawEndpoint endpoint = new RawEndpoint(new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1")));
		daemon(endpoint::accept);
		return endpoint;
	}

	private static void daemon(Runnable body) {
		Thread thread = new Thread(body, "raw-endpoint");
		thread.setDaemon(true);
		thread.start();
	}

	String address() {
		return "127.0.0.1:" + this.socket.getLocalPort();
	}

	/**
	 * Sets the behaviour for calls of the service and for decode requests.
	 * @param next the behaviour
	 */
	void setBehaviour(Behaviour next) {
		this.behaviour = next;
	}

	/**
	 * Returns the number of calls of the service and of decode requests.
	 * @return the number
	 */
	int requests() {
		return this.requests.get();
	}

	/**
	 * Returns the number of responses that are being written.
	 * @return the number
	 */
	int responding() {
		return this.responding.get();
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
		this.connections.add(accepted);
		try (accepted) {
			InputStream in = new BufferedInputStream(accepted.getInputStream());
			String request = read(in);
			while (!request.isEmpty()) {
				respond(request, accepted);
				request = read(in);
			}
		}
		catch (IOException | InterruptedException ex) {
			// The other side has closed the connection.
		}
		finally {
			this.connections.remove(accepted);
		}
	}

	private void respond(String request, Socket connection) throws IOException, InterruptedException {
		if (request.startsWith("POST /engine/v1/prefill ")) {
			send(connection, json("{\"prefillId\":\"p1\",\"promptTokens\":3,\"kvPieces\":1,\"expiresInMillis\":900}"));
		}
		else if (request.startsWith("POST /engine/v1/kv/import ")) {
			send(connection, json("{\"done\":true}\n"));
		}
		else if (request.startsWith("POST /engine/v1/cancel ") || request.startsWith("GET /engine/")) {
			send(connection, json("{\"streams\":[]}"));
		}
		else {
			this.requests.incrementAndGet();
			this.responding.incrementAndGet();
			try {
				this.behaviour.respond(request, connection);
			}
			finally {
				this.responding.decrementAndGet();
			}
		}
	}

	static String json(String body) {
		return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length() + "\r\n\r\n"
				+ body;
	}

	/**
	 * Returns the response to a decode request up to its last word.
	 * @param request the request
	 * @param words number of words
	 * @return the response in chunks, without its end
	 */
	static String words(String request, int words) {
		StringBuilder text = new StringBuilder(CHUNKED_HEAD);
		for (int i = 0; i < words; i++) {
			text.append(chunk(word(request, i)));
		}
		return text.toString();
	}

	static String word(String request, long offset) {
		return "{\"requestId\":\"" + requestId(request) + "\",\"offset\":" + offset + ",\"text\":\"w" + offset
				+ " \"}\n";
	}

	static String finish(String request, int words) {
		return chunk("{\"requestId\":\"" + requestId(request) + "\",\"offset\":" + words + ",\"finish\":\"stop\"}\n")
				+ "0\r\n\r\n";
	}

	static String chunk(String text) {
		return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
	}

	static String requestId(String request) {
		return request.replaceAll("(?s).*\"requestId\":\"([^\"]+)\".*", "$1");
	}

	static void send(Socket connection, String text) throws IOException {

		connection.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
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
		for (Socket connection : this.connections) {
			connection.close();
		}
	}

	/**
	 * Responds to a request.
	 *
	 * @author banyanstile contributors
	 */
	@FunctionalInterface
	interface Behaviour {

		void respond(String request, Socket connection) throws IOException, InterruptedException;

	}

}
