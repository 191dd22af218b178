package org.banyanstile.server.router;

import org.jspecify.annotations.Nullable;

/**
 * Header fields that the router adds to a request that it forwards.
 *
 * @param instance id of the endpoint; any other instance must refuse the request
 * @param team name of the team, {@code null} for an anonymous request
 * @param deadlineMillis how long the router waits for the response
 * @param prefillOnly whether the engine only prefills the prompt
 * @param cacheSource engine and handle that the KV cache is fetched from, {@code null} if
 * the engine prefills the prompt itself
 * @param reservation id of the memory reservation, {@code null} for none
 * @param urgency rank at the engine, 0 for the most urgent, -1 for none
 * @param lastEventId id of the event after which the stream is resumed, {@code null} for
 * what the caller sent
 * @author banyanstile contributors
 */
public record EndpointFields(String instance, @Nullable String team, long deadlineMillis, boolean prefillOnly,
		@Nullable String cacheSource, @Nullable String reservation, int urgency, @Nullable String lastEventId) {

	static EndpointFields plain(String instance, @Nullable String team, long deadlineMillis) {
		return new EndpointFields(instance, team, deadlineMillis, false, null, null, -1, null);
	}

}
