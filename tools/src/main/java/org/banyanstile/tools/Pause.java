package org.banyanstile.tools;

import java.time.Duration;

/**
 * Time as a command sees it, replaced in tests.
 *
 * @author banyanstile contributors
 */
interface Pause {

	/**
	 * Returns the time since an arbitrary origin.
	 * @return the time in nanoseconds
	 */
	long nanos();

	/**
	 * Waits.
	 * @param time how long
	 */
	void sleep(Duration time);

	/**
	 * Returns the time of this process.
	 * @return the time
	 */
	static Pause system() {
		return new Pause() {

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
