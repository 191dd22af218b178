package org.banyanstile.server.caller;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Writes generated text as one JSON object at its end.
 *
 * @author banyanstile contributors
 */
final class CompleteOutput implements ChatOutput {

	private final ResponseWriter writer;

	private final String id;

	private final ChatRequest chat;

	private final StringBuilder text = new StringBuilder();

	CompleteOutput(ResponseWriter writer, String id, ChatRequest chat) {
		this.writer = writer;
		this.id = id;
		this.chat = chat;
	}

	@Override
	public void token(long offset, String text) {
		if (offset == 0) {
			this.text.setLength(0);
		}
		this.text.append(text);
	}

	@Override
	public void idle() {
		// Nothing can be sent before the answer; the watch notices a disconnect.
	}

	@Override
	public void finish(String finish, long tokens) throws IOException {
		Map<String, Object> choice = new LinkedHashMap<>();
		choice.put("index", 0);
		choice.put("message", Map.of("role", "assistant", "content", this.text.toString()));
		choice.put("finish_reason", finish);
		Map<String, Object> answer = new LinkedHashMap<>();
		answer.put("id", this.id);
		answer.put("object", "chat.completion");
		answer.put("model", this.chat.model());
		answer.put("choices", List.of(choice));
		answer.put("usage", Map.of("prompt_tokens", this.chat.promptTokens(), "completion_tokens", tokens));
		this.writer.send(200, "application/json", CallerJson.write(answer));
	}

	@Override
	public void fail(RequestException ex) throws IOException {
		this.writer.sendError(ex);
	}

	@Override
	public boolean hasSentText() {
		return false;
	}

}
