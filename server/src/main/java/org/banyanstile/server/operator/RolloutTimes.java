package org.banyanstile.server.operator;

import java.time.Duration;

/**
 * Time limits of {@link RolloutService}.
 *
 * @param resolve longest time for resolving a lost reply of the table service
 * @param accept longest time for which a change waits for its acceptance
 * @param poll pause between two looks at either
 * @author banyanstile contributors
 */
public record RolloutTimes(Duration resolve, Duration accept, Duration poll) {

	/**
	 * Returns the usual limits. Heartbeats are sent once a second, so a healthy fleet
	 * acknowledges within 2 s.
	 * @return the limits
	 */
	public static RolloutTimes standard() {
		return new RolloutTimes(Duration.ofSeconds(10), Duration.ofSeconds(3), Duration.ofMillis(50));
	}

}
