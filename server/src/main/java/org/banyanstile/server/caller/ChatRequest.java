package org.banyanstile.server.caller;

import java.util.StringJoiner;
import java.util.StringTokenizer;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Body of a request for generated text.
 *
 * @param model name of the model
 * @param prompt contents of all messages, separated by line feeds
 * @param promptTokens number of prompt tokens
 * @param maxTokens maximum number of generated tokens
 * @param stream whether the response is sent as events
 * @author banyanstile contributors
 */
record ChatRequest(String model, String prompt, int promptTokens, int maxTokens, boolean stream) {

	static ChatRequest parse(byte[] body, RequestLimits limits) throws RequestException {
		JsonNode node = CallerJson.read(body);
		if (!node.path("model").isTextual()) {
			throw invalid("model must be a string");
		}
		String prompt = prompt(node.path("messages"));
		int promptTokens = new StringTokenizer(prompt).countTokens();
		if (promptTokens == 0 || promptTokens > limits.maxPromptTokens()) {
			throw invalid(
					"the prompt has " + promptTokens + " tokens; 1 to " + limits.maxPromptTokens() + " are allowed");
		}
		return new ChatRequest(node.path("model").asText(), prompt, promptTokens,
				maxTokens(node.path("max_tokens"), limits), node.path("stream").asBoolean(false));
	}

	private static String prompt(JsonNode messages) throws RequestException {
		if (!messages.isArray() || messages.isEmpty()) {
			throw invalid("messages must be a non-empty array");
		}
		StringJoiner prompt = new StringJoiner("\n");
		for (JsonNode message : messages) {
			if (!message.path("content").isTextual()) {
				throw invalid("content of each message must be a string");
			}
			prompt.add(message.path("content").asText());
		}
		return prompt.toString();
	}

	private static int maxTokens(JsonNode value, RequestLimits limits) throws RequestException {
		if (value.isMissingNode()) {
			return limits.maxOutputTokens();
		}
		if (!value.canConvertToInt() || value.asInt() < 1 || value.asInt() > limits.maxOutputTokens()) {
			throw invalid("max_tokens must be 1 to " + limits.maxOutputTokens());
		}
		return value.asInt();
	}

	private static RequestException invalid(String message) {
		return RequestException.notRun(ErrorType.INVALID_REQUEST, message);
	}

	/**
	 * Returns the maximum number of tokens that the request can use.
	 * @return the number
	 */
	long cost() {
		return (long) this.promptTokens + this.maxTokens;
	}

}
