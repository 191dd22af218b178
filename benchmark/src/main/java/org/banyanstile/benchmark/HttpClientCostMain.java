package org.banyanstile.benchmark;

import java.io.IOException;
import java.io.InputStream;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

import org.banyanstile.io.http.HttpClient;
import org.banyanstile.io.http.HttpException;
import org.banyanstile.io.http.HttpRequest;
import org.banyanstile.io.http.HttpResponse;

/**
 * Measures the processor time of the HTTP client for each request: that of the calling
 * thread and of the I/O thread. Run with the classes of two versions in turn, it compares
 * them.
 *
 * @author banyanstile contributors
 */
public final class HttpClientCostMain {

	private static final int ROUNDS = 5;

	private static final int REQUESTS = 10_000;

	private static final int MAX_BODY_BYTES = 1_000_000;

	private static final String FIELDS = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: a1\r\n"
			+ "X-Signature: 0123456789abcdef\r\n";

	private HttpClientCostMain() {
	}

	/**
	 * Prints the processor time of a request in microseconds for a plain response and for
	 * one of 100 chunks, the lowest of five rounds.
	 * @param args none
	 * @throws IOException if the server cannot be started
	 * @throws HttpException if a request failed
	 */
	public static void main(String[] args) throws IOException, HttpException {
		String chunk = "1a\r\nid: 1\ndata: {\"text\":\"abc\"}\r\n";
		measure("plain", FIELDS + "Content-Length: 1632\r\n\r\n" + "a".repeat(1632));
		measure("chunks", FIELDS + "Transfer-Encoding: chunked\r\n\r\n" + chunk.repeat(100) + "0\r\n\r\n");
	}

	private static void measure(String name, String response) throws IOException, HttpException {
		try (ServerSocket server = new ServerSocket(0); HttpClient client = HttpClient.create(1)) {
			Thread thread = new Thread(() -> serve(server, response.getBytes(StandardCharsets.ISO_8859_1)), "server");
			thread.setDaemon(true);
			thread.start();
			HttpRequest request = HttpRequest.get("127.0.0.1:" + server.getLocalPort(), "/");
			long lowest = Long.MAX_VALUE;
			for (int i = 0; i < ROUNDS; i++) {
				lowest = Math.min(lowest, processorNanos(client, request));
			}
			System.out.printf(Locale.ROOT, "%s %.2f us a request%n", name, lowest / 1000.0 / REQUESTS);
		}
	}

	private static long processorNanos(HttpClient client, HttpRequest request) throws HttpException {
		long before = clientNanos();
		for (int i = 0; i < REQUESTS; i++) {
			try (HttpResponse response = client.send(request)) {
				response.drain(MAX_BODY_BYTES);
			}
		}
		return clientNanos() - before;
	}

	private static long clientNanos() {
		ThreadMXBean threads = ManagementFactory.getThreadMXBean();
		long nanos = threads.getCurrentThreadCpuTime();
		for (Thread thread : Thread.getAllStackTraces().keySet()) {
			if (thread.getName().startsWith("http-client I/O")) {
				nanos += Math.max(0, threads.getThreadCpuTime(thread.getId()));
			}
		}
		return nanos;
	}

	private static void serve(ServerSocket server, byte[] response) {
		byte[] request = new byte[4096];
		try (Socket socket = server.accept()) {
			socket.setTcpNoDelay(true);
			InputStream in = socket.getInputStream();
			while (in.read(request) >= 0) {
				socket.getOutputStream().write(response);
			}
		}
		catch (IOException ex) {
			System.err.println("the connection broke: " + ex);
		}
	}

}
