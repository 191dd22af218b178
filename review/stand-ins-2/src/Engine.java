import java.io.OutputStream;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Language runner. An event holds several tokens, and its id is the number of tokens so far,
 * so the ids increase by more than one.
 */
final class Engine implements Runner.Work {

	static final int TOKENS_PER_EVENT = 4;

	private final int events;

	private final long eventMillis;

	private final AtomicInteger handles = new AtomicInteger();

	/** Told about the streams. */
	interface Listener {

		void began(Runner runner, Http.Message request);

		void ended(Runner runner, Http.Message request, boolean complete);

	}

	private final Listener listener;

	Engine(int events, long eventMillis, Listener listener) {
		this.events = events;
		this.eventMillis = eventMillis;
		this.listener = listener;
	}

	@Override
	public boolean serve(Runner runner, Http.Message request, OutputStream out) throws Exception {
		String path = request.word(1);
		if (path.equals("/hold-take")) {
			runner.answer(out, request, "200 OK", "Content-Type: application/json\r\n",
					"{\"hold\":\"h" + this.handles.incrementAndGet() + "\"}");
		}
		else if (path.equals("/report")) {
			runner.answer(out, request, "200 OK", "Content-Type: application/json\r\n",
					"{\"phase\":\"" + runner.phase + "\",\"models\":[],\"busy\":false,\"sequence\":0,\"queued\":0,"
							+ "\"active\":0,\"kvUsed\":0,\"kvTotal\":34221,\"kvHandles\":0}");
		}
		else if (request.word(0).equals("DELETE")) {
			runner.answer(out, request, "200 OK", "", "");
		}
		else if ("prefill".equals(request.header("x-stage"))) {
			Threads.pause(30);
			runner.answer(out, request, "200 OK", "Content-Type: application/json\r\n",
					"{\"handle\":\"k" + this.handles.incrementAndGet() + "\",\"tokens\":100,\"version\":1}");
		}
		else {
			stream(runner, request, out);
		}
		return true;
	}

	private void stream(Runner runner, Http.Message request, OutputStream out) throws Exception {
		boolean complete = false;
		this.listener.began(runner, request);
		try {
			int last = Integer.parseInt(request.headers().getOrDefault("last-event-id", "0"));
			out.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: "
					+ request.header("x-attempt-id") + "\r\nX-Response-Seal: " + Runner.seal(request)
					+ "\r\nTransfer-Encoding: chunked\r\n\r\n")
				.getBytes());
			for (int id = last + TOKENS_PER_EVENT; id <= lastId(); id += TOKENS_PER_EVENT) {
				Threads.pause(this.eventMillis);
				String event = "id: " + id + "\ndata: tokens up to " + id + "\n\n";
				out.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n").getBytes());
			}
			out.write("0\r\n\r\n".getBytes());
			complete = true;
		}
		finally {
			this.listener.ended(runner, request, complete);
		}
	}

	int lastId() {
		return this.events * TOKENS_PER_EVENT;
	}

}
