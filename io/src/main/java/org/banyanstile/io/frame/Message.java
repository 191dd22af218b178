package org.banyanstile.io.frame;

/**
 * Content of a frame.
 *
 * @param correlationId number that is copied into the reply, or {@link #ONE_WAY}
 * @param payload a record of a registered type
 * @author banyanstile contributors
 */
public record Message(long correlationId, Object payload) {

	/**
	 * Correlation id of a message that has no reply.
	 */
	public static final long ONE_WAY = 0;

}
