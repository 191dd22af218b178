package org.banyanstile.server.platform;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.banyanstile.core.store.Row;
import org.banyanstile.core.store.StoreException;
import org.banyanstile.core.store.StoreOutcomeUnknownException;
import org.banyanstile.core.store.StoreThrottledException;
import org.banyanstile.core.store.StoreUnavailableException;
import org.banyanstile.core.store.TableStore;
import org.banyanstile.core.store.Transaction;
import org.banyanstile.core.store.TransactionResult;
import org.banyanstile.io.http.ConnectFailedException;
import org.banyanstile.io.http.HttpClient;
import org.banyanstile.io.http.HttpException;
import org.banyanstile.io.http.HttpRequest;
import org.banyanstile.io.http.HttpResponse;

/**
 * Client of the table service.
 *
 * @author banyanstile contributors
 */
public final class HttpTableStore implements TableStore {

	/**
	 * Maximum wait for a reply. Two consecutive calls fit into the 4 s for which one
	 * store contact permits serving.
	 */
	private static final Duration TIMEOUT = Duration.ofMillis(1800);

	private static final int MAX_BYTES = 8 * 1024 * 1024;

	private static final int OK = 200;

	private static final int CONFLICT = 409;

	private static final int TOO_MANY_REQUESTS = 429;

	private static final int SERVER_ERROR = 500;

	private final HttpClient http;

	private final BaseUrl service;

	private final ObjectMapper mapper = new ObjectMapper();

	private HttpTableStore(HttpClient http, BaseUrl service) {
		this.http = http;
		this.service = service;
	}

	/**
	 * Creates a client.
	 * @param http the HTTP client
	 * @param url base URL of the service, {@code http://ip:port}
	 * @return the client
	 */
	public static HttpTableStore create(HttpClient http, String url) {
		return new HttpTableStore(http, BaseUrl.parse(url));
	}

	@Override
	public TransactionResult transact(Transaction transaction) throws StoreException {
		Reply reply = call(post("transact", transaction));
		if (reply.status() == CONFLICT) {
			return new TransactionResult.Conflict(rows(reply));
		}
		JsonNode members = reply.body().path("versions");
		requireMember(members.isObject(), "versions");
		Map<String, Long> versions = new HashMap<>();
		members.fields().forEachRemaining((entry) -> versions.put(entry.getKey(), entry.getValue().asLong()));
		return new TransactionResult.Committed(versions);
	}

	@Override
	public List<Row> read(Collection<String> keys) throws StoreException {
		return readRows(post("read", Map.of("keys", keys)));
	}

	@Override
	public List<Row> scan(String prefix, int limit) throws StoreException {
		String query = "scan?prefix=" + URLEncoder.encode(prefix, StandardCharsets.UTF_8) + "&limit=" + limit;
		return readRows(HttpRequest.get(this.service.address(), path(query)).withTimeout(TIMEOUT));
	}

	private List<Row> readRows(HttpRequest request) throws StoreException {
		Reply reply = call(request);
		requireMember(reply.status() == OK, "rows");
		return rows(reply);
	}

	private HttpRequest post(String operation, Object body) {
		try {
			String json = this.mapper.writeValueAsString(body);
			return HttpRequest.postJson(this.service.address(), path(operation), json).withTimeout(TIMEOUT);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException("request cannot be serialized as JSON", ex);
		}
	}

	private String path(String operation) {
		return this.service.path() + "/tables/v1/" + operation;
	}

	private Reply call(HttpRequest request) throws StoreException {
		// A pooled connection can break after a write was sent, and can deliver a late
		// copy of an earlier reply, which would show the rows as they were before.
		try (HttpResponse response = this.http.send(request.withFreshConnection())) {
			response.setReadTimeout(TIMEOUT);
			int status = response.status();
			String text = response.text(MAX_BYTES);
			if (status == TOO_MANY_REQUESTS) {
				throw new StoreThrottledException("the table service rejected the call with status 429 (rate limit)",
						null);
			}
			if (status >= SERVER_ERROR) {
				throw new StoreOutcomeUnknownException("the table service replied with status " + status, null);
			}
			if (status != OK && status != CONFLICT) {
				throw new StoreUnavailableException("the table service rejected the call with status " + status, null);
			}
			return new Reply(status, this.mapper.readTree(text));
		}
		catch (ConnectFailedException ex) {
			throw new StoreUnavailableException("the table service cannot be reached", ex);
		}
		catch (HttpException | JsonProcessingException ex) {
			throw new StoreOutcomeUnknownException("no valid reply from the table service", ex);
		}
	}

	private static void requireMember(boolean valid, String name) throws StoreOutcomeUnknownException {
		if (!valid) {
			throw new StoreOutcomeUnknownException("the reply of the table service has no member " + name, null);
		}
	}

	private static List<Row> rows(Reply reply) throws StoreOutcomeUnknownException {
		JsonNode members = reply.body().path("rows");
		requireMember(members.isArray(), "rows");
		List<Row> rows = new ArrayList<>();
		for (JsonNode row : members) {
			rows.add(new Row(row.path("key").asText(), row.path("version").asLong(), row.path("value").asText()));
		}
		return rows;
	}

	/**
	 * Reply of the service.
	 *
	 * @param status status code, 200 or 409
	 * @param body the body
	 * @author banyanstile contributors
	 */
	private record Reply(int status, JsonNode body) {

	}

}
