package org.banyanstile.server.vm;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.banyanstile.core.common.VmId;
import org.jspecify.annotations.Nullable;

/**
 * Registry of handlers by message type. Safe for use by several threads; handlers may be
 * added while connections are open.
 *
 * @author banyanstile contributors
 */
public final class MessageHandlers {

	private static final Logger logger = LogManager.getLogger(MessageHandlers.class);

	private final Map<Class<?>, Entry<?>> entries = new ConcurrentHashMap<>();

	/**
	 * Adds or replaces the handler of a type. It runs in a worker thread and may block.
	 * @param type the message type
	 * @param handler the handler
	 * @param <T> the message type
	 */
	public <T extends Record> void register(Class<T> type, MessageHandler<T> handler) {
		this.entries.put(type, new Entry<>(type, handler, false));
	}

	/**
	 * Adds or replaces the handler of a type that must not be queued behind other
	 * messages. It runs in the thread that reads the connection and must not block.
	 * @param type the message type
	 * @param handler the handler
	 * @param <T> the message type
	 */
	public <T extends Record> void registerInline(Class<T> type, MessageHandler<T> handler) {
		this.entries.put(type, new Entry<>(type, handler, true));
	}

	boolean isInline(Object message) {
		Entry<?> entry = this.entries.get(message.getClass());
		return entry == null || entry.inline();
	}

	@Nullable
	Record handle(VmId from, Object message) {
		Entry<?> entry = this.entries.get(message.getClass());
		if (entry == null) {
			return new Failure("no handler for " + message.getClass().getSimpleName());
		}
		try {
			return entry.handle(from, message);
		}
		catch (RuntimeException ex) {
			logger.error("handler of {} failed", message.getClass().getSimpleName(), ex);
			return new Failure(ex.getClass().getSimpleName());
		}
	}

	/**
	 * Handler of one type.
	 *
	 * @param type the message type
	 * @param handler the handler
	 * @param inline whether it runs in the thread that reads the connection
	 * @param <T> the message type
	 * @author banyanstile contributors
	 */
	private record Entry<T>(Class<T> type, MessageHandler<T> handler, boolean inline) {

		@Nullable
		Record handle(VmId from, Object message) {
			return this.handler.handle(from, this.type.cast(message));
		}

	}

}
