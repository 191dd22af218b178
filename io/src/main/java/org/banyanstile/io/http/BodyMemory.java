package org.banyanstile.io.http;

/**
 * Memory that a body is buffered in.
 *
 * @author banyanstile contributors
 */
@FunctionalInterface
public interface BodyMemory {

	/**
	 * Memory for bodies whose size has a small limit of its own.
	 */
	BodyMemory UNLIMITED = (bytes) -> true;

	/**
	 * Takes memory for a part of the body.
	 * @param bytes size of the part
	 * @return whether there is memory for it
	 */
	boolean tryAcquire(long bytes);

}
