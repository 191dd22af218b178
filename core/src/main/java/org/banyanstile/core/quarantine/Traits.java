package org.banyanstile.core.quarantine;

/**
 * Traits of requests: hashes whose lowest bit tells a part of the prompt, which requests
 * that are otherwise different can share, from the whole request.
 *
 * @author banyanstile contributors
 */
public final class Traits {

	private Traits() {
	}

	/**
	 * Returns the trait of requests that have a part in their prompts.
	 * @param hash hash of the part
	 * @return the trait
	 */
	public static long ofPart(long hash) {
		return hash | 1;
	}

	/**
	 * Returns the trait of requests that are identical.
	 * @param hash hash of the request
	 * @return the trait
	 */
	public static long ofRequest(long hash) {
		return hash & ~1;
	}

	static boolean isPart(long trait) {
		return (trait & 1) != 0;
	}

}
