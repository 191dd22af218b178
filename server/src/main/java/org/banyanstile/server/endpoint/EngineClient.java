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
 * Client for the engine protocol. Safe for use by several threads.
 *
 * @author banyanstile contributors
 */
public final class EngineClient {

	/**
	 * A transfer without progress for this long is abandoned, so that the result can
	 * still be transferred to another engine: it is retained for less than one second.
	 */
	static final Duration TRANSFER_STALL_TIMEOUT = Duration.ofMillis(200);

	/**
	 * Bounds a transfer whose progress lines have no end, as the prefill before it is
	 * bounded.
	 */
	private static final Duration MAX_TRANSFER_TIME = Duration.ofSeconds(20);

	private static final Duration PREFILL_TIMEOUT = Duration.ofSeconds(20);

	private static final Duration CONTROL_TIMEOUT = Duration.ofSeconds(2);

	private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;

	private static final int MAX_LINE_BYTES = 64 * 1024;

	private final HttpClient http;

	private final Supplier<String> holder;

	private EngineClient(HttpClient http, Supplier<String> holder) {
		this.http = http;
		this.holder = holder;
	}

	/**
	 * Creates a client.
	 * @param http the HTTP client
	 * @param holder supplies the VM and epoch on whose behalf calls are made
	 * @return the client
	 */
	public static EngineClient create(HttpClient http, Supplier<String> holder) {
		return new EngineClient(http, holder);
	}

	/**
	 * Returns the VM and epoch on whose behalf calls are currently made.
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
	 * @throws EndpointException if the prefill failed
	 */
	public Prefill prefill(String address, PrefillCall call) throws EndpointException {
		Map<String, Object> body = commonMembers(call.requestId());
		body.put("model", call.model());
		body.put("prompt", call.prompt());
		body.put("priority", call.priority());
		HttpRequest request = HttpRequest.postJson(address, "/engine/v1/prefill", EndpointJson.write(body))
			.withTimeout(PREFILL_TIMEOUT);
		JsonNode result = EndpointJson.read(sendForText(request));
		return new Prefill(result.path("prefillId").asText(), address, result.path("promptTokens").asInt());
	}

	/**
	 * Makes a decode engine fetch a prefill result, and waits for the transfer to
	 * complete.
	 * @param address address of the decode engine
	 * @param requestId identifier of the request
	 * @param prefill the result to fetch
	 * @throws TransferStalledException if the transfer made no progress for 200 ms
	 * @throws EndpointException if the transfer failed
	 */
	public void importKv(String address, String requestId, Prefill prefill) throws EndpointException {
		Map<String, Object> body = commonMembers(requestId);
		body.put("source", prefill.source());
		body.put("prefillId", prefill.prefillId());
		HttpRequest request = HttpRequest.postJson(address, "/engine/v1/kv/import", EndpointJson.write(body))
			.withTimeout(TRANSFER_STALL_TIMEOUT);
		try (HttpResponse response = open(request)) {
			response.setDeadline(MAX_TRANSFER_TIME);
			awaitTransfer(response);
		}
		catch (ResponseTimeoutException ex) {
			throw new TransferStalledException("KV transfer to " + address + " timed out", ex);
		}
		catch (HttpException ex) {
			throw toEndpointException(ex);
		}
	}

	private static void awaitTransfer(HttpResponse response) throws HttpException, EndpointException {
		TransferProgress progress = new TransferProgress(System.nanoTime(), TRANSFER_STALL_TIMEOUT.toNanos());
		String line = response.line(MAX_LINE_BYTES);
		while (line != null) {
			JsonNode node = EndpointJson.read(line);
			if (node.path("done").asBoolean()) {
				return;
			}
			if (node.has("error")) {
				throw new EndpointRefusedException(410, node.path("error").asText());
			}
			progress.update(node.path("pieces").asLong(), System.nanoTime());
			line = response.line(MAX_LINE_BYTES);
		}
		throw new EndpointBrokenException("KV transfer ended before it was complete", null);
	}

	/**
	 * Opens the stream of generated text at an offset.
	 * @param address address of the decode engine
	 * @param requestId identifier of the request
	 * @param maxTokens maximum number of generated tokens
	 * @param fromOffset offset of the first token to send
	 * @param wait maximum time to wait for the connection, and again for the response
	 * head
	 * @return the response, which the caller must close
	 * @throws EndpointException if the engine refused or cannot be reached
	 */
	HttpResponse openDecode(String address, String requestId, int maxTokens, long fromOffset, Duration wait)
			throws EndpointException {
		Map<String, Object> body = commonMembers(requestId);
		body.put("maxTokens", maxTokens);
		body.put("fromOffset", fromOffset);
		HttpRequest request = HttpRequest.postJson(address, "/engine/v1/decode", EndpointJson.write(body))
			.withTimeout(wait);
		try {
			return open(request);
		}
		catch (HttpException ex) {
			throw toEndpointException(ex);
		}
	}

	/**
	 * Returns a stream of generated text that resumes after a broken connection.
	 * @param address address of the decode engine
	 * @param requestId identifier of the request
	 * @param maxTokens maximum number of generated tokens
	 * @param fromOffset offset of the first token
	 * @return the stream, not yet connected
	 */
	public DecodeStream decode(String address, String requestId, int maxTokens, long fromOffset) {
		return new DecodeStream(this, address, requestId, maxTokens, fromOffset);
	}

	/**
	 * Cancels a request and frees its memory at the engine.
	 * @param address address of the engine
	 * @param requestId identifier of the request
	 * @return whether the engine confirmed that the request no longer exists
	 */
	public boolean cancel(String address, String requestId) {
		HttpRequest request = HttpRequest
			.postJson(address, "/engine/v1/cancel", EndpointJson.write(Map.of("requestId", requestId)))
			.withTimeout(CONTROL_TIMEOUT);
		try {
			sendForText(request);
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
	 * @throws EndpointException if the call failed
	 */
	public List<EngineStream> streams(String address) throws EndpointException {
		HttpRequest request = report(address, "/engine/v1/streams");
		List<EngineStream> streams = new ArrayList<>();
		for (JsonNode node : EndpointJson.read(sendForText(request)).path("streams")) {
			streams.add(EndpointJson.convert(node, EngineStream.class));
		}
		return streams;
	}

	/**
	 * Reads the load report of an engine.
	 * @param address address of the engine
	 * @return the report
	 * @throws EndpointException if the call failed
	 */
	public EngineLoad load(String address) throws EndpointException {
		HttpRequest request = report(address, "/engine/v1/load");
		return EndpointJson.convert(EndpointJson.read(sendForText(request)), EngineLoad.class);
	}

	private static HttpRequest report(String address, String path) {
		return HttpRequest.get(address, path).withTimeout(CONTROL_TIMEOUT);
	}

	private Map<String, Object> commonMembers(String requestId) {
		Map<String, Object> members = new LinkedHashMap<>();
		members.put("requestId", requestId);
		members.put("holder", this.holder.get());
		return members;
	}

	private String sendForText(HttpRequest request) throws EndpointException {
		try (HttpResponse response = open(request)) {
			response.setDeadline(request.timeout());
			return response.text(MAX_BODY_BYTES);
		}
		catch (HttpException ex) {
			throw toEndpointException(ex);
		}
	}

	// On a pooled connection a late copy of an earlier response could look like a
	// refusal, or name the old holder of a stream, which would then be cancelled.
	private HttpResponse open(HttpRequest request) throws EndpointException, HttpException {
		HttpResponse response = this.http.send(request.withFreshConnection());
		requireSuccess(response);
		return response;
	}

	private static void requireSuccess(HttpResponse response) throws EndpointException, HttpException {
		if (response.status() != 200) {
			try (response) {
				response.setDeadline(CONTROL_TIMEOUT);
				String error = EndpointJson.read(response.text(MAX_LINE_BYTES)).path("error").asText();
				throw new EndpointRefusedException(response.status(), error);
			}
		}
	}

	static EndpointException toEndpointException(HttpException ex) {
		if (ex instanceof ConnectFailedException) {
			return new EndpointUnreachableException("endpoint cannot be reached", ex);
		}
		return new EndpointBrokenException("connection to the endpoint broke", ex);
	}

}
