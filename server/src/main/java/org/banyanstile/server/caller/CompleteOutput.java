package org.banyanstile.server.caller;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Collects generated text and writes it as one JSON object when it is complete.
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
	public void keepAlive() {
		// Nothing can be sent before the response; CallWatch detects a disconnect.
	}

	@Override
	public void finish(String finish, long tokens) throws IOException {
		Map<String, Object> choice = new LinkedHashMap<>();
		choice.put("index", 0);
		choice.put("message", Map.of("role", "assistant", "content", this.text.toString()));
		choice.put("finish_reason", finish);
		Map<String, Object> response = new LinkedHashMap<>();
		response.put("id", this.id);
		response.put("object", "chat.completion");
		response.put("model", this.chat.model());
		response.put("choices", List.of(choice));
		response.put("usage", Map.of("prompt_tokens", this.chat.promptTokens(), "completion_tokens", tokens));
		this.writer.send(200, "application/json", CallerJson.write(response));
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
