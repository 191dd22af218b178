package org.banyanstile.tools;

import java.time.Duration;

/**
 * Clock of a command, replaced in tests.
 *
 * @author banyanstile contributors
 */
interface Clock {

	/**
	 * Returns the time since an arbitrary origin, as {@link System#nanoTime()}.
	 * @return the time in nanoseconds
	 */
	long nanos();

	/**
	 * Sleeps. Returns early if the thread is interrupted.
	 * @param time the time
	 */
	void sleep(Duration time);

	/**
	 * Returns the clock of the system.
	 * @return the clock
	 */
	static Clock system() {
		return new Clock() {

			@Override
			public long nanos() {
				return System.nanoTime();
			}

			@Override
			public void sleep(Duration time) {
				try {
					Thread.sleep(time.toMillis());
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
				}
			}

		};
	}

}
