package org.banyanstile.core.stream;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Streams that one VM serves. At most one connection of a request is current; a newer one
 * supersedes it. Safe for use by several threads.
 *
 * @param <C> the type of the connection
 * @author banyanstile contributors
 */
public final class StreamRegistry<C> {

	private final Object lock = new Object();

	private final Map<StreamKey, Registration<C>> registrations = new HashMap<>();

	private long lastGeneration;

	private StreamRegistry() {
	}

	/**
	 * Creates an empty registry.
	 * @param <C> the type of the connection
	 * @return the registry
	 */
	public static <C> StreamRegistry<C> create() {
		return new StreamRegistry<>();
	}

	/**
	 * Makes a connection the current one of a request.
	 * @param key the identity of the request
	 * @param stream the stream
	 * @param connection the connection
	 * @return the new registration and the one it supersedes, whose connection must end
	 * with {@code superseded}
	 */
	public Started<C> start(StreamKey key, StreamInfo stream, C connection) {
		synchronized (this.lock) {
			Registration<C> started = new Registration<>(key, stream, connection, ++this.lastGeneration);
			return new Started<>(started, Optional.ofNullable(this.registrations.put(key, started)));
		}
	}

	/**
	 * Removes the registration of a request that another VM took over.
	 * @param key the identity of the request
	 * @param requestId the request that was taken over
	 * @return the registration whose connection must end with {@code superseded}
	 */
	public Optional<Registration<C>> supersede(StreamKey key, String requestId) {
		synchronized (this.lock) {
			Registration<C> current = this.registrations.get(key);
			if (current == null || !current.stream().requestId().equals(requestId)) {
				return Optional.empty();
			}
			this.registrations.remove(key);
			return Optional.of(current);
		}
	}

	/**
	 * Removes a registration whose connection ended.
	 * @param registration the registration
	 * @return true if it was current, so the stream must be cancelled if it still runs;
	 * false if another connection took the stream over
	 */
	public boolean end(Registration<C> registration) {
		synchronized (this.lock) {
			return this.registrations.remove(registration.key(), registration);
		}
	}

	/**
	 * Returns whether a connection may still send chunks of the response.
	 * @param registration the registration
	 * @return true if it is current
	 */
	public boolean isCurrent(Registration<C> registration) {
		synchronized (this.lock) {
			return registration.equals(this.registrations.get(registration.key()));
		}
	}

	/**
	 * Returns all registrations, to announce them to a new owner.
	 * @return a copy of the registrations
	 */
	public Map<StreamKey, Registration<C>> registrations() {
		synchronized (this.lock) {
			return Map.copyOf(this.registrations);
		}
	}

	/**
	 * Current connection of a request.
	 *
	 * @param <C> the type of the connection
	 * @param key the identity of the request
	 * @param stream the stream
	 * @param connection the connection
	 * @param generation a number that differs for each registration
	 */
	public record Registration<C>(StreamKey key, StreamInfo stream, C connection, long generation) {
	}

	/**
	 * Result of a start.
	 *
	 * @param <C> the type of the connection
	 * @param current the new registration
	 * @param superseded the previous one
	 */
	public record Started<C>(Registration<C> current, Optional<Registration<C>> superseded) {
	}

}
