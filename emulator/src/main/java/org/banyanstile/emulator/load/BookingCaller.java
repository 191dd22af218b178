package org.banyanstile.emulator.load;

import java.util.Map;
import java.util.UUID;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.core.JsonProcessingException;
import org.banyanstile.emulator.http.Json;
import org.banyanstile.io.http.HttpClient;
import org.banyanstile.io.http.HttpException;
import org.banyanstile.io.http.HttpRequest;
import org.banyanstile.io.http.HttpResponse;
import org.jspecify.annotations.Nullable;

/**
 * Makes one booking. The call is retried at another VM, with the same idempotency key,
 * when its connection fails.
 *
 * @author banyanstile contributors
 */
final class BookingCaller {

	private static final int MAX_BODY_BYTES = 1 << 20;

	private static final long RETRY_MILLIS = 100;

	private final HttpClient client;

	private final VmDirectory vms;

	private final LoadCommand options;

	private final LoadResult result;

	private final String key;

	private final String idempotencyKey = UUID.randomUUID().toString();

	private final String body;

	BookingCaller(HttpClient client, VmDirectory vms, LoadCommand options, LoadResult result, long number, String key) {
		this.client = client;
		this.vms = vms;
		this.options = options;
		this.result = result;
		this.key = key;
		this.body = Json.text(Map.of("booking", number, "reference", this.idempotencyKey));
	}

	void run() throws InterruptedException {
		long retryUntil = System.nanoTime() + TimeUnit.SECONDS.toNanos(this.options.giveUpSeconds());
		while (true) {
			String vm = this.vms.choose();
			Refusal refusal = attempt(vm);
			if (refusal == null) {
				return;
			}
			if (refusal.type().equals("connection") || refusal.type().equals("not_serving")) {
				this.vms.failed(vm);
			}
			if (!refusal.isRetryable() || System.nanoTime() - retryUntil >= 0) {
				this.result.refused(refusal.type());
				return;
			}
			this.result.retried(refusal.type());
			TimeUnit.MILLISECONDS.sleep(Math.max(RETRY_MILLIS, refusal.retryAfterMillis()));
		}
	}

	private @Nullable Refusal attempt(String vm) {
		String path = "/v1/services/" + this.options.service() + this.options.path();
		HttpRequest call = HttpRequest.postJson(vm, path, this.body)
			.withHeader("Authorization", "Bearer " + this.key)
			.withHeader("Idempotency-Key", this.idempotencyKey);
		try (HttpResponse response = this.client.send(call)) {
			String text = response.text(MAX_BODY_BYTES);
			if (response.status() != 201) {
				return Refusal.parse(response.status(), text);
			}
			String echo = Json.parse(text).path("echo").asText();
			if (echo.equals(this.body)) {
				this.result.answered();
			}
			else {
				this.result.wrong("response belongs to another booking");
			}
			return null;
		}
		catch (HttpException | JsonProcessingException ex) {
			return Refusal.connection();
		}
	}

}
