package org.banyanstile.emulator.process;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

import org.banyanstile.io.http.HttpException;

/**
 * Waits for conditions.
 *
 * @author banyanstile contributors
 */
public final class Conditions {

	private static final long POLL_MILLIS = 50;

	private Conditions() {
	}

	/**
	 * Waits until a condition holds. A failed call counts as a condition that does not
	 * hold yet.
	 * @param what the condition, for the error message
	 * @param limit longest time to wait
	 * @param condition the condition
	 * @throws InterruptedException if interrupted
	 */
	public static void await(String what, Duration limit, Condition condition) throws InterruptedException {
		long deadline = System.nanoTime() + limit.toNanos();
		String last = "false";
		while (System.nanoTime() - deadline < 0) {
			try {
				if (condition.holds()) {
					return;
				}
				last = "false";
			}
			catch (HttpException ex) {
				last = String.valueOf(ex.getMessage());
			}
			TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
		}
		throw new IllegalStateException(
				what + ": did not hold within " + limit.toSeconds() + " s, last result: " + last);
	}

	/**
	 * A condition that calls a process.
	 *
	 * @author banyanstile contributors
	 */
	@FunctionalInterface
	public interface Condition {

		/**
		 * Evaluates the condition.
		 * @return whether it holds
		 * @throws HttpException if the call failed
		 */
		boolean holds() throws HttpException;

	}

}
