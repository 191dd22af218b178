package org.banyanstile.server.operator;

import java.time.Duration;

/**
 * Time limits of {@link RolloutService}.
 *
 * @param resolve maximum time to find out whether a commit with a lost reply was stored
 * @param accept maximum time that a change waits to be accepted
 * @param poll pause between two checks while waiting for either
 * @author banyanstile contributors
 */
public record RolloutTimes(Duration resolve, Duration accept, Duration poll) {

	/**
	 * Returns the default limits. Heartbeats are sent once a second, so a healthy fleet
	 * acknowledges within 2 s.
	 * @return the limits
	 */
	public static RolloutTimes standard() {
		return new RolloutTimes(Duration.ofSeconds(10), Duration.ofSeconds(3), Duration.ofMillis(50));
	}

}
