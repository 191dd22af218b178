package org.banyanstile.emulator.load;

import java.util.List;
import java.util.Map;
import java.util.StringJoiner;
import java.util.random.RandomGenerator;

import org.banyanstile.emulator.engine.EngineText;
import org.banyanstile.emulator.http.Json;

/**
 * Request for generated text.
 *
 * @param prompt the prompt
 * @param maxTokens largest number of words of the response
 * @author banyanstile contributors
 */
public record TextRequest(String prompt, int maxTokens) {

	private static final List<String> WORDS = List.of("reflector", "panel", "radiator", "quotation", "warranty",
			"delivery", "steel", "catalogue", "installer", "price");

	/**
	 * Returns a request with a random prompt.
	 * @param number number of the request, which is part of the prompt
	 * @param promptWords largest number of words of the prompt
	 * @param maxTokens largest number of words of the response
	 * @param random source of random numbers
	 * @return the request
	 */
	public static TextRequest random(long number, int promptWords, int maxTokens, RandomGenerator random) {
		StringJoiner prompt = new StringJoiner(" ")
			.add("request-" + number + "-" + Long.toHexString(random.nextLong()));
		if (random.nextBoolean()) {
			prompt.add("answer-words=" + random.nextInt(1, maxTokens + 1));
		}
		int words = random.nextInt(promptWords / 4, promptWords + 1);
		for (int i = 0; i < words; i++) {
			prompt.add(WORDS.get(random.nextInt(WORDS.size())));
		}
		return new TextRequest(prompt.toString(), maxTokens);
	}

	/**
	 * Returns the body of the call.
	 * @param model the model
	 * @return the body as JSON
	 */
	public String body(String model) {
		return Json.text(Map.of("model", model, "messages", List.of(Map.of("role", "user", "content", this.prompt)),
				"max_tokens", this.maxTokens, "stream", true));
	}

	/**
	 * Returns the number of words of the correct response.
	 * @return the number
	 */
	public int answerLength() {
		return Math.min(this.maxTokens, EngineText.length(this.prompt));
	}

}
