package org.banyanstile.emulator.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import org.banyanstile.emulator.http.Json;
import org.banyanstile.io.http.HttpClient;
import org.banyanstile.io.http.HttpException;
import org.banyanstile.io.http.HttpRequest;
import org.banyanstile.io.http.HttpResponse;

/**
 * VMs that callers may use, as reported by the deployment.
 *
 * @author banyanstile contributors
 */
final class VmDirectory {

	private static final int MAX_BODY_BYTES = 1 << 20;

	/** A VM whose connection failed stays in the list until its lease expires. */
	private static final long AVOID_NANOS = TimeUnit.SECONDS.toNanos(2);

	private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(1);

	private final HttpClient client;

	private final Set<String> known = new LinkedHashSet<>();

	private final Map<String, Long> failedAt = new LinkedHashMap<>();

	private final RandomGenerator random;

	private List<String> addresses = List.of();

	private long validUntil;

	VmDirectory(HttpClient client, List<String> seeds, RandomGenerator random) {
		this.client = client;
		this.known.addAll(seeds);
		this.random = random;
	}

	synchronized String choose() {
		long now = System.nanoTime();
		if (this.addresses.isEmpty() || now - this.validUntil >= 0) {
			refresh(now);
		}
		List<String> candidates = preferred(this.addresses, now);
		if (candidates.isEmpty()) {
			candidates = preferred(this.known, now);
		}
		if (candidates.isEmpty()) {
			candidates = List.copyOf(this.known);
		}
		return candidates.get(this.random.nextInt(candidates.size()));
	}

	synchronized void failed(String address) {
		this.failedAt.put(address, System.nanoTime());
		this.validUntil = System.nanoTime();
	}

	private List<String> preferred(Iterable<String> from, long now) {
		List<String> preferred = new ArrayList<>();
		for (String address : from) {
			Long failed = this.failedAt.get(address);
			if (failed == null || now - failed >= AVOID_NANOS) {
				preferred.add(address);
			}
		}
		return preferred;
	}

	private void refresh(long now) {
		for (String address : preferred(this.known, now)) {
			try (HttpResponse response = this.client
				.send(HttpRequest.get(address, "/v1/vms").withTimeout(RESPONSE_TIMEOUT))) {
				if (response.status() == 200) {
					accept(Json.parse(response.text(MAX_BODY_BYTES)), now);
					return;
				}
			}
			catch (HttpException | JsonProcessingException ex) {
				this.failedAt.put(address, now);
			}
		}
		this.addresses = List.of();
	}

	private void accept(JsonNode response, long now) {
		List<String> listed = new ArrayList<>();
		response.path("vms").forEach((vm) -> listed.add(vm.path("address").asText()));
		this.addresses = List.copyOf(listed);
		this.known.addAll(listed);
		this.validUntil = now + TimeUnit.SECONDS.toNanos(response.path("validForSeconds").asLong());
	}

}
