package org.banyanstile.server.caller;

import java.io.IOException;
import java.nio.charset.StandardCharsets;

/**
 * Writes generated text as server-sent events. The identifier of an event is the offset
 * of its token.
 *
 * @author banyanstile contributors
 */
final class EventStreamOutput implements ChatOutput {

	private static final byte[] KEEP_ALIVE = ": keep-alive\n\n".getBytes(StandardCharsets.UTF_8);

	private static final byte[] DONE = "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);

	private final ResponseWriter writer;

	private final String head;

	private boolean sentText;

	EventStreamOutput(ResponseWriter writer, String id, String model) {
		this.writer = writer;
		this.head = "{\"id\":" + json(id) + ",\"object\":\"chat.completion.chunk\",\"model\":" + json(model)
				+ ",\"choices\":[{\"index\":0,\"delta\":";
	}

	@Override
	public void token(long offset, String text) throws IOException {
		this.sentText = true;
		send("id: " + offset + "\ndata: " + this.head + "{\"content\":" + json(text)
				+ "},\"finish_reason\":null}]}\n\n");
	}

	@Override
	public void keepAlive() throws IOException {
		start();
		this.writer.write(KEEP_ALIVE);
	}

	@Override
	public void finish(String finish, long tokens) throws IOException {
		send("data: " + this.head + "{},\"finish_reason\":" + json(finish) + "}]}\n\n");
		this.writer.write(DONE);
		this.writer.end();
	}

	@Override
	public void fail(RequestException ex) throws IOException {
		if (!this.writer.started()) {
			this.writer.sendError(ex);
			return;
		}
		send("event: error\ndata: " + new String(CallerJson.write(CallerJson.error(ex)), StandardCharsets.UTF_8)
				+ "\n\n");
		this.writer.end();
	}

	@Override
	public boolean hasSentText() {
		return this.sentText;
	}

	private void send(String event) throws IOException {
		start();
		this.writer.write(event.getBytes(StandardCharsets.UTF_8));
	}

	private void start() {
		if (!this.writer.started()) {
			this.writer.start(200, "text/event-stream", -1);
		}
	}

	private static String json(String text) {
		return new String(CallerJson.write(text), StandardCharsets.UTF_8);
	}

}
