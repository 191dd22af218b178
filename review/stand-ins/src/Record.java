import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/** What clients sent and got, and what runners ran. */
final class Record implements AutoCloseable {

	private final long startNanos = System.nanoTime();

	private final PrintWriter out;

	private final Queue<Line> lines = new ConcurrentLinkedQueue<>();

	private record Line(long nanos, String text) {

	}

	private final Map<String, List<String>> runs = new ConcurrentHashMap<>();

	Record(Path file) throws IOException {
		this.out = new PrintWriter(Files.newBufferedWriter(file));
		Listener.thread("record", this::writeAlways);
	}

	/** Adds a line, which is written later, so that the time of a client is not affected. */
	void line(String text) {
		this.lines.add(new Line(System.nanoTime(), text));
	}

	private void writeAlways() {
		try {
			while (true) {
				Thread.sleep(200);
				write();
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private synchronized void write() {
		for (Line line = this.lines.poll(); line != null; line = this.lines.poll()) {
			this.out.printf("%9.3f %s%n", (line.nanos() - this.startNanos) / 1e9, line.text());
		}
	}

	void say(String text) {
		line(text);
		System.out.println(text);
	}

	void ran(String runner, String attempt, Http.Message request) {
		this.runs.computeIfAbsent(String.valueOf(attempt), (id) -> Collections.synchronizedList(new ArrayList<>()))
			.add(runner);
		line("ran " + attempt + " at " + runner + ", " + request.method() + ' ' + request.target());
	}

	Map<String, List<String>> runs() {
		return this.runs;
	}

	@Override
	public synchronized void close() {
		write();
		this.out.close();
	}

}
