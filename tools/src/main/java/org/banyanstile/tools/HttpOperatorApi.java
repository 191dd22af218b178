package org.banyanstile.tools;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.banyanstile.io.http.ConnectFailedException;
import org.banyanstile.io.http.HttpClient;
import org.banyanstile.io.http.HttpException;
import org.banyanstile.io.http.HttpRequest;

/**
 * Operator interface over HTTP.
 *
 * @author banyanstile contributors
 */
final class HttpOperatorApi implements OperatorApi, AutoCloseable {

	private static final int MAX_BODY_BYTES = 256 * 1024 * 1024;

	private static final int SERVER_ERROR = 500;

	private static final Duration READ_TIMEOUT = Duration.ofSeconds(5);

	/**
	 * Longer than the read timeout, because the daemon resolves lost replies of the table
	 * service before it responds.
	 */
	private static final Duration PUT_TIMEOUT = Duration.ofSeconds(20);

	private final HttpClient client = HttpClient.create(1);

	private final List<String> addresses;

	private final String token;

	private HttpOperatorApi(List<String> addresses, String token) {
		this.addresses = List.copyOf(addresses);
		this.token = token;
	}

	static HttpOperatorApi create(List<String> addresses, String token) {
		return new HttpOperatorApi(addresses, token);
	}

	@Override
	public OperatorReply get(String path) throws NotReachableException {
		List<String> failures = new ArrayList<>();
		OperatorReply last = null;
		for (String address : this.addresses) {
			try {
				last = send(HttpRequest.get(address, path).withTimeout(READ_TIMEOUT));
				if (last.status() < SERVER_ERROR) {
					return last;
				}
			}
			catch (HttpException ex) {
				failures.add(ex.getMessage());
			}
		}
		if (last != null) {
			return last;
		}
		throw new NotReachableException(String.join("; ", failures));
	}

	/**
	 * Reads from one VM.
	 * @param address address of the VM
	 * @param path path with query
	 * @return the reply
	 * @throws NotReachableException if it did not respond
	 */
	OperatorReply getFrom(String address, String path) throws NotReachableException {
		try {
			return send(HttpRequest.get(address, path).withTimeout(READ_TIMEOUT));
		}
		catch (HttpException ex) {
			throw new NotReachableException(String.valueOf(ex.getMessage()));
		}
	}

	@Override
	public OperatorReply putConfiguration(long replaces, String json)
			throws NotReachableException, OutcomeUnknownException {
		List<String> failures = new ArrayList<>();
		for (String address : this.addresses) {
			try {
				return send(new HttpRequest("PUT", address, "/operator/v1/config",
						Map.of("Content-Type", "application/json", "If-Match", String.valueOf(replaces)),
						json.getBytes(StandardCharsets.UTF_8), PUT_TIMEOUT, true));
			}
			catch (ConnectFailedException ex) {
				failures.add(ex.getMessage());
			}
			catch (HttpException ex) {
				throw new OutcomeUnknownException(ex.getMessage() + "; the configuration may have been stored");
			}
		}
		throw new NotReachableException(String.join("; ", failures));
	}

	List<String> addresses() {
		return this.addresses;
	}

	private OperatorReply send(HttpRequest request) throws HttpException {
		try (var response = this.client.send(request.withHeader("Authorization", "Bearer " + this.token))) {
			return new OperatorReply(request.address(), response.status(), response.text(MAX_BODY_BYTES));
		}
	}

	@Override
	public void close() {
		this.client.close();
	}

}
