package org.banyanstile.emulator.load;

import java.time.Duration;
import java.util.UUID;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import org.banyanstile.emulator.http.Json;
import org.banyanstile.io.http.HttpClient;
import org.banyanstile.io.http.HttpException;
import org.banyanstile.io.http.HttpRequest;
import org.banyanstile.io.http.HttpResponse;
import org.jspecify.annotations.Nullable;

/**
 * Requests one generated text until it is complete, refused permanently, or past the time
 * limit for retries. A broken stream is resumed at another VM; a lost one is requested
 * again from the start.
 *
 * @author banyanstile contributors
 */
final class TextCaller {

	private static final int MAX_BODY_BYTES = 1 << 20;

	private static final long RETRY_MILLIS = 100;

	private final HttpClient client;

	private final VmDirectory vms;

	private final LoadCommand options;

	private final LoadResult result;

	private final TextRequest request;

	private final String key;

	private String idempotencyKey = UUID.randomUUID().toString();

	private AnswerCheck check;

	private long lastTokenAt;

	TextCaller(HttpClient client, VmDirectory vms, LoadCommand options, LoadResult result, TextRequest request,
			String key) {
		this.client = client;
		this.vms = vms;
		this.options = options;
		this.result = result;
		this.request = request;
		this.key = key;
		this.check = new AnswerCheck(request);
	}

	void run() throws InterruptedException {
		long startedAt = System.nanoTime();
		long retryUntil = startedAt + TimeUnit.SECONDS.toNanos(this.options.giveUpSeconds());
		while (true) {
			String vm = this.vms.choose();
			Refusal refusal = attempt(vm, startedAt);
			if (refusal == null) {
				record();
				return;
			}
			if (refusal.type().equals("connection") || refusal.type().equals("not_serving")) {
				this.vms.failed(vm);
			}
			boolean lost = refusal.type().equals("stream_lost");
			if ((!lost && !refusal.isRetryable()) || System.nanoTime() - retryUntil >= 0) {
				this.result.refused(refusal.type());
				return;
			}
			this.result.retried(refusal.type());
			if (lost) {
				this.check = new AnswerCheck(this.request);
				this.idempotencyKey = UUID.randomUUID().toString();
			}
			TimeUnit.MILLISECONDS.sleep(Math.max(RETRY_MILLIS, refusal.retryAfterMillis()));
		}
	}

	private void record() {
		String fault = this.check.fault();
		if (fault == null) {
			this.result.answered();
		}
		else {
			this.result.wrong(fault);
		}
	}

	private @Nullable Refusal attempt(String vm, long startedAt) {
		HttpRequest call = HttpRequest.postJson(vm, "/v1/chat/completions", this.request.body(this.options.model()))
			.withHeader("Authorization", "Bearer " + this.key)
			.withHeader("Idempotency-Key", this.idempotencyKey)
			.withTimeout(Duration.ofMillis(this.options.headMillis()));
		if (this.check.words() > 0) {
			call = call.withHeader("Last-Event-ID", String.valueOf(this.check.words() - 1));
		}
		try (HttpResponse response = this.client.send(call)) {
			if (response.status() != 200) {
				return Refusal.parse(response.status(), response.text(MAX_BODY_BYTES));
			}
			response.setReadTimeout(Duration.ofMillis(this.options.silenceMillis()));
			Event event = Event.read(response);
			while (event != null) {
				if (event.type().equals("error")) {
					return Refusal.parse(200, event.data());
				}
				if (event.isDone()) {
					this.check.end();
					return null;
				}
				accept(event, startedAt);
				event = Event.read(response);
			}
		}
		catch (HttpException | JsonProcessingException ex) {
			return Refusal.connection();
		}
		return Refusal.connection();
	}

	private void accept(Event event, long startedAt) throws JsonProcessingException {
		JsonNode chunk = Json.parse(event.data());
		String text = chunk.path("choices").path(0).path("delta").path("content").asText("");
		if (text.isEmpty()) {
			return;
		}
		long now = System.nanoTime();
		if (this.lastTokenAt == 0) {
			this.result.firstToken(now - startedAt);
		}
		else {
			this.result.interToken(now - this.lastTokenAt);
		}
		this.lastTokenAt = now;
		this.check.accept((event.id() != null) ? Long.parseLong(event.id()) : -1, text);
	}

}
