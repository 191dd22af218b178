package org.banyanstile.server.endpoint;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.JsonNode;
import org.banyanstile.io.http.ConnectFailedException;
import org.banyanstile.io.http.HttpClient;
import org.banyanstile.io.http.HttpException;
import org.banyanstile.io.http.HttpRequest;
import org.banyanstile.io.http.HttpResponse;
import org.banyanstile.io.http.ResponseTimeoutException;

/**
 * Client for the protocol of an engine. Safe for use by several threads.
 *
 * @author banyanstile contributors
 */
public final class EngineClient {

	/**
	 * A transfer that makes no progress for this long is given up, so that it can be
	 * re-routed while the prefill result is retained, which is under a second.
	 */
	static final Duration TRANSFER_PROGRESS = Duration.ofMillis(200);

	private static final Duration PREFILL_TIMEOUT = Duration.ofSeconds(20);

	private static final Duration CONTROL_TIMEOUT = Duration.ofSeconds(2);

	private static final int MAX_BODY = 4 * 1024 * 1024;

	private static final int MAX_LINE = 64 * 1024;

	private final HttpClient http;

	private final Supplier<String> holder;

	private EngineClient(HttpClient http, Supplier<String> holder) {
		this.http = http;
		this.holder = holder;
	}

	/**
	 * Creates a client.
	 * @param http the HTTP client
	 * @param holder gives the VM and epoch in whose name calls are made
	 * @return the client
	 */
	public static EngineClient create(HttpClient http, Supplier<String> holder) {
		return new EngineClient(http, holder);
	}

	/**
	 * Returns the VM and epoch in whose name calls are made now.
	 * @return the holder
	 */
	public String holder() {
		return this.holder.get();
	}

	/**
	 * Computes the KV cache of a prompt.
	 * @param address address of the engine
	 * @param call parameters
	 * @return the result
	 * @throws EndpointException if the engine did not complete it
	 */
	public Prefill prefill(String address, PrefillCall call) throws EndpointException {
		Map<String, Object> body = members(call.requestId());
		body.put("model", call.model());
		body.put("prompt", call.prompt());
		body.put("priority", call.priority());
		HttpRequest request = HttpRequest.postJson(address, "/engine/v1/prefill", EndpointJson.write(body))
			.withTimeout(PREFILL_TIMEOUT)
			.withFreshConnection();
		JsonNode answer = EndpointJson.read(text(request));
		return new Prefill(answer.path("prefillId").asText(), address, answer.path("promptTokens").asInt());
	}

	/**
	 * Makes a decode engine fetch a prefill result, and waits until it has it.
	 * @param address address of the decode engine
	 * @param requestId identifier of the request
	 * @param prefill the result to fetch
	 * @throws TransferStalledException if there was no progress for 200 ms
	 * @throws EndpointException if the transfer failed
	 */
	public void importKv(String address, String requestId, Prefill prefill) throws EndpointException {
		Map<String, Object> body = members(requestId);
		body.put("source", prefill.source());
		body.put("prefillId", prefill.prefillId());
		HttpRequest request = HttpRequest.postJson(address, "/engine/v1/kv/import", EndpointJson.write(body))
			.withTimeout(TRANSFER_PROGRESS)
			.withFreshConnection();
		try (HttpResponse response = this.http.send(request)) {
			requireSuccess(response);
			awaitTransfer(response);
		}
		catch (ResponseTimeoutException ex) {
			throw new TransferStalledException("transfer to " + address + " made no progress", ex);
		}
		catch (HttpException ex) {
			throw failure(ex);
		}
	}

	private static void awaitTransfer(HttpResponse response) throws HttpException, EndpointException {
		TransferProgress progress = new TransferProgress(System.nanoTime(), TRANSFER_PROGRESS.toNanos());
		String line = response.line(MAX_LINE);
		while (line != null) {
			JsonNode node = EndpointJson.read(line);
			if (node.path("done").asBoolean()) {
				return;
			}
			if (node.has("error")) {
				throw new EndpointRefusedException(410, node.path("error").asText());
			}
			progress.update(node.path("pieces").asLong(), System.nanoTime());
			line = response.line(MAX_LINE);
		}
		throw new EndpointBrokenException("transfer ended before it was done", null);
	}

	/**
	 * Opens the stream of generated text at an offset.
	 * @param address address of the decode engine
	 * @param requestId identifier of the request
	 * @param maxTokens longest answer
	 * @param fromOffset offset of the first token to send
	 * @param wait longest wait for the connection, and again for the response head
	 * @return the connection, which the caller must close
	 * @throws EndpointException if the engine refused or cannot be reached
	 */
	HttpResponse openDecode(String address, String requestId, int maxTokens, long fromOffset, Duration wait)
			throws EndpointException {
		Map<String, Object> body = members(requestId);
		body.put("maxTokens", maxTokens);
		body.put("fromOffset", fromOffset);
		HttpRequest request = HttpRequest.postJson(address, "/engine/v1/decode", EndpointJson.write(body))
			.withTimeout(wait)
			.withFreshConnection();
		try {
			HttpResponse response = this.http.send(request);
			requireSuccess(response);
			return response;
		}
		catch (HttpException ex) {
			throw failure(ex);
		}
	}

	/**
	 * Returns a stream of generated text that resumes by itself after a broken
	 * connection.
	 * @param address address of the decode engine
	 * @param requestId identifier of the request
	 * @param maxTokens longest answer
	 * @param fromOffset offset of the first token
	 * @return the stream, not yet connected
	 */
	public AnswerStream answer(String address, String requestId, int maxTokens, long fromOffset) {
		return new AnswerStream(this, address, requestId, maxTokens, fromOffset);
	}

	/**
	 * Cancels a request and frees its memory.
	 * @param address address of the engine
	 * @param requestId identifier of the request
	 * @return whether the engine confirmed that the request no longer exists there
	 */
	public boolean cancel(String address, String requestId) {
		HttpRequest request = HttpRequest
			.postJson(address, "/engine/v1/cancel", EndpointJson.write(Map.of("requestId", requestId)))
			.withTimeout(CONTROL_TIMEOUT)
			.withFreshConnection();
		try {
			text(request);
			return true;
		}
		catch (EndpointRefusedException ex) {
			return ex.status() == 404;
		}
		catch (EndpointException ex) {
			return false;
		}
	}

	/**
	 * Lists the streams of an engine.
	 * @param address address of the engine
	 * @return the streams
	 * @throws EndpointException if the engine did not answer
	 */
	public List<EngineStream> streams(String address) throws EndpointException {
		HttpRequest request = HttpRequest.get(address, "/engine/v1/streams").withTimeout(CONTROL_TIMEOUT);
		List<EngineStream> streams = new ArrayList<>();
		for (JsonNode node : EndpointJson.read(text(request)).path("streams")) {
			streams.add(EndpointJson.convert(node, EngineStream.class));
		}
		return streams;
	}

	/**
	 * Reads the load report of an engine.
	 * @param address address of the engine
	 * @return the report
	 * @throws EndpointException if the engine did not answer
	 */
	public EngineLoad load(String address) throws EndpointException {
		HttpRequest request = HttpRequest.get(address, "/engine/v1/load").withTimeout(CONTROL_TIMEOUT);
		return EndpointJson.convert(EndpointJson.read(text(request)), EngineLoad.class);
	}

	private Map<String, Object> members(String requestId) {
		Map<String, Object> members = new LinkedHashMap<>();
		members.put("requestId", requestId);
		members.put("holder", this.holder.get());
		return members;
	}

	private String text(HttpRequest request) throws EndpointException {
		try (HttpResponse response = this.http.send(request)) {
			requireSuccess(response);
			return response.text(MAX_BODY);
		}
		catch (HttpException ex) {
			throw failure(ex);
		}
	}

	private static void requireSuccess(HttpResponse response) throws EndpointException, HttpException {
		if (response.status() != 200) {
			try (response) {
				String error = EndpointJson.read(response.text(MAX_LINE)).path("error").asText();
				throw new EndpointRefusedException(response.status(), error);
			}
		}
	}

	static EndpointException failure(HttpException ex) {
		if (ex instanceof ConnectFailedException) {
			return new EndpointUnreachableException("endpoint cannot be reached", ex);
		}
		return new EndpointBrokenException("connection to the endpoint broke", ex);
	}

}
