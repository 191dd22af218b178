package org.banyanstile.server.router;

import java.util.Map;
import java.util.function.Function;

import org.jspecify.annotations.Nullable;

/**
 * Names and formats of the header fields that callers, the router and endpoints exchange.
 *
 * @author banyanstile contributors
 */
public interface RequestProtocol {

	/**
	 * Reads a caller's header fields.
	 * @param header returns the value of a field by name, {@code null} if it is absent
	 * @return the fields
	 */
	CallerFields callerFields(Function<String, @Nullable String> header);

	/**
	 * Returns whether a caller's header field is forwarded to the endpoint.
	 * @param name name of the field
	 * @return whether it is
	 */
	boolean isForwardedToEndpoint(String name);

	/**
	 * Returns whether an endpoint's header field is forwarded to the caller.
	 * @param name name of the field
	 * @return whether it is
	 */
	boolean isForwardedToCaller(String name);

	/**
	 * Encodes the header fields that the router adds to a request.
	 * @param fields the fields
	 * @return header fields by name
	 */
	Map<String, String> endpointFields(EndpointFields fields);

	/**
	 * Reads an endpoint's header fields.
	 * @param status status of the response
	 * @param header returns the value of a field by name, {@code null} if it is absent
	 * @return the fields
	 */
	ResponseFields responseFields(int status, Function<String, @Nullable String> header);

}
