package org.banyanstile.server.endpoint;

import org.banyanstile.io.http.ConnectFailedException;
import org.banyanstile.io.http.HttpClient;
import org.banyanstile.io.http.HttpException;
import org.banyanstile.io.http.HttpRequest;
import org.banyanstile.io.http.HttpResponse;

/**
 * Client for plain services. Each call uses a new connection, so that a refused
 * connection proves that the service did not receive the call.
 *
 * @author banyanstile contributors
 */
public final class ServiceClient {

	/**
	 * Header field with the id of the request. A service may repeat it in the response.
	 */
	public static final String REQUEST_ID = "X-Request-Id";

	private static final int MAX_RESPONSE_BYTES = 1024 * 1024;

	private final HttpClient http;

	private ServiceClient(HttpClient http) {
		this.http = http;
	}

	/**
	 * Creates a client.
	 * @param http the HTTP client
	 * @return the client
	 */
	public static ServiceClient create(HttpClient http) {
		return new ServiceClient(http);
	}

	/**
	 * Makes a call.
	 * @param address address of the service
	 * @param call the call
	 * @return the response, whatever its status
	 * @throws EndpointUnreachableException if the service did not receive the call
	 * @throws EndpointBrokenException if the service may have received the call but no
	 * complete response to it arrived
	 */
	public ServiceResponse call(String address, ServiceCall call)
			throws EndpointUnreachableException, EndpointBrokenException {
		HttpRequest request = new HttpRequest(call.method(), address, call.path(), call.headers(), call.body(),
				call.timeout(), true);
		long startNanos = System.nanoTime();
		try (HttpResponse response = this.http.send(request)) {
			response.setDeadline(call.timeout().minusNanos(System.nanoTime() - startNanos));
			requireSameRequest(call, response);
			return new ServiceResponse(response.status(), response.header("Content-Type"),
					response.bytes(MAX_RESPONSE_BYTES));
		}
		catch (ConnectFailedException ex) {
			throw new EndpointUnreachableException("service cannot be reached", ex);
		}
		catch (HttpException ex) {
			throw new EndpointBrokenException("no complete response from the service", ex);
		}
	}

	private static void requireSameRequest(ServiceCall call, HttpResponse response) throws EndpointBrokenException {
		String id = response.header(REQUEST_ID);
		if (id != null && !id.equals(call.headers().get(REQUEST_ID))) {
			throw new EndpointBrokenException("the service sent a response to request " + id, null);
		}
	}

}
