import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;

/** A client that keeps its connection for many requests. */
final class Client implements AutoCloseable {

	/** What a client got: a message, or the reason why there is none. */
	record Outcome(String attempt, Http.Message answer, String failure, long millis) {

		int status() {
			return (this.answer != null) ? this.answer.status() : 0;
		}

		@Override
		public String toString() {
			return this.attempt + ' ' + ((this.answer != null) ? String.valueOf(status()) : this.failure) + " after "
					+ this.millis + " ms";
		}

	}

	private final String address;

	private final Record record;

	private Socket socket;

	private BufferedInputStream in;

	Client(String address, Record record) {
		this.address = address;
		this.record = record;
	}

	static String newId() {
		return String.format("%016x", ThreadLocalRandom.current().nextLong());
	}

	Outcome send(String method, String path, Map<String, String> more, byte[] body, long deadlineMillis,
			long waitMillis) {
		String attempt = newId();
		this.record.line("sent " + attempt + ", " + method + ' ' + path + ", " + body.length + " bytes to " + this.address);
		long start = System.nanoTime();
		Http.Message answer = null;
		String failure = null;
		try {
			if (this.socket == null) {
				connect();
			}
			this.socket.setSoTimeout((int) waitMillis);
			Map<String, String> headers = new LinkedHashMap<>();
			headers.put("Host", Deployment.HOST);
			headers.put("X-Attempt-Id", attempt);
			headers.put("X-Deadline-Ms", Long.toString(deadlineMillis));
			headers.putAll(more);
			this.socket.getOutputStream().write(Http.message(method + ' ' + path + " HTTP/1.1", headers, body));
			answer = Http.read(this.in);
			failure = (answer == null) ? "closed without an answer" : null;
		}
		catch (SocketTimeoutException ex) {
			failure = "no answer";
		}
		catch (IOException | RuntimeException ex) {
			failure = "failed: " + ex;
		}
		Outcome outcome = new Outcome(attempt, answer, failure, (System.nanoTime() - start) / 1_000_000);
		if (answer == null || "close".equalsIgnoreCase(answer.header("Connection"))) {
			close();
		}
		this.record.line("got " + outcome);
		return outcome;
	}

	private void connect() throws IOException {
		String[] parts = this.address.split(":");
		Socket fresh = new Socket();
		fresh.connect(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), 1000);
		fresh.setTcpNoDelay(true);
		this.socket = fresh;
		this.in = new BufferedInputStream(fresh.getInputStream());
	}

	@Override
	public void close() {
		Socket old = this.socket;
		this.socket = null;
		if (old != null) {
			try {
				old.close();
			}
			catch (IOException ex) {
				// Nothing is lost: the connection is not used again.
			}
		}
	}

}
