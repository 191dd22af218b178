package org.banyanstile.io.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Tests of a peer that answers before it has read the request and resets the connection
 * while the request is still being written. The error can appear at the write alone; the
 * next read then finds the end of the connection.
 *
 * @author banyanstile contributors
 */
class ResetDuringUploadTests {

	private static final int BODY_BYTES = 16 * 1024 * 1024;

	private static final int MAX_RESPONSE_BYTES = 1024 * 1024;

	private final HttpClient client = HttpClient.create(1);

	private ServerSocket server;

	@BeforeEach
	void start() throws IOException {
		this.server = new ServerSocket(0);
	}

	@AfterEach
	void stop() throws IOException {
		this.client.close();
		this.server.close();
	}

	// Sends a head and a part of the body, and resets the connection some time later.
	private void serve(String head, int bodyBytes, long resetAfterMillis) {
		Thread thread = new Thread(() -> {
			try (Socket socket = this.server.accept()) {
				InputStream in = socket.getInputStream();
				assertThat(in.read(new byte[512]) > 0, is(true));
				socket.getOutputStream()
					.write((head + "\r\n\r\n" + "x".repeat(bodyBytes)).getBytes(StandardCharsets.ISO_8859_1));
				TimeUnit.MILLISECONDS.sleep(resetAfterMillis);
				socket.setSoLinger(true, 0);
			}
			catch (IOException | InterruptedException ex) {
				throw new IllegalStateException(ex);
			}
		}, "resetting-peer");
		thread.setDaemon(true);
		thread.start();
	}

	private HttpRequest upload() {
		return new HttpRequest("POST", "127.0.0.1:" + this.server.getLocalPort(), "/", Map.of(), new byte[BODY_BYTES],
				Duration.ofSeconds(5), Duration.ofSeconds(1), HttpRequest.DEFAULT_MAX_IDLE, "uploads");
	}

	@ParameterizedTest
	@CsvSource({ "4, 50, 0", "4, 50, 200", "20000, 50, 0", "20000, 50, 200", "60000, 100, 300", "4, 0, 100" })
	void partOfAResponseWithoutALengthIsNotComplete(int bodyBytes, long resetAfterMillis, long readAfterMillis)
			throws Exception {
		serve("HTTP/1.1 200 OK", bodyBytes, resetAfterMillis);
		assertThrows(HttpException.class, () -> {
			try (HttpResponse response = this.client.send(upload())) {
				TimeUnit.MILLISECONDS.sleep(readAfterMillis);
				response.bytes(MAX_RESPONSE_BYTES);
			}
		});
	}

}
