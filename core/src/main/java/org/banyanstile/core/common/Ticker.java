package org.banyanstile.core.common;

/**
 * Monotonic time source. Values of different processes are not comparable.
 *
 * @author banyanstile contributors
 */
@FunctionalInterface
public interface Ticker {

	/**
	 * Returns the time since an arbitrary origin.
	 * @return the time in nanoseconds
	 */
	long nanos();

	/**
	 * Returns the time source of this process.
	 * @return a ticker over {@link System#nanoTime()}
	 */
	static Ticker system() {
		return System::nanoTime;
	}

}
