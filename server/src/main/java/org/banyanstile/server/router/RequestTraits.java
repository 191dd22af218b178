package org.banyanstile.server.router;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Set;

import org.banyanstile.core.catalog.RegisteredEndpoint;
import org.banyanstile.core.quarantine.Traits;
import org.banyanstile.server.caller.Hashes;

/**
 * Traits by which requests that crash endpoints are recognised: the whole request, and
 * each part of its prompt that other prompts may have as well.
 *
 * @author banyanstile contributors
 */
final class RequestTraits {

	private RequestTraits() {
	}

	/**
	 * Returns the traits of a request.
	 * @param call the request
	 * @return hashes of its traits
	 */
	static Set<Long> of(RouterCall call) {
		Set<Long> traits = new LinkedHashSet<>();
		// The same part can be harmless to the engines of another model.
		byte[] model = bytes((call.fields().model() != null) ? call.fields().model() : call.service());
		for (String part : call.fields().sharedParts()) {
			traits.add(Traits.ofPart(hash(model, bytes(part))));
		}
		traits.add(Traits.ofRequest(hash(bytes(call.target()), bytes(String.valueOf(call.team())), call.body())));
		return traits;
	}

	/**
	 * Returns the hash of one incarnation of an endpoint.
	 * @param endpoint the endpoint
	 * @return the hash
	 */
	static long incarnation(RegisteredEndpoint endpoint) {
		return hash(bytes(endpoint.id()), bytes(Long.toString(endpoint.startMillis())));
	}

	private static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.UTF_8);
	}

	private static long hash(byte[]... parts) {
		return ByteBuffer.wrap(Hashes.sha256Bytes(parts)).getLong();
	}

}
