package org.banyanstile.server.vm;

import org.banyanstile.core.common.VmId;
import org.jspecify.annotations.Nullable;

/**
 * Handler of one message type.
 *
 * @param <T> the message type
 * @author banyanstile contributors
 */
@FunctionalInterface
public interface MessageHandler<T> {

	/**
	 * Handles a message. Called by several threads.
	 * @param from the authenticated sender
	 * @param message the message
	 * @return the reply, or {@code null} for a message without reply
	 */
	@Nullable
	Record handle(VmId from, T message);

}
