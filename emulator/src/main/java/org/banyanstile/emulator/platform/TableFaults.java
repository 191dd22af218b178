package org.banyanstile.emulator.platform;

import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/**
 * Faults injected into the table service. The same seed gives the same sequence of
 * faults.
 *
 * @author banyanstile contributors
 */
final class TableFaults {

	private Mode mode = Mode.UP;

	private long delayMillis;

	private double lossFraction;

	private RandomGenerator random = random(1);

	private static RandomGenerator random(long seed) {
		return RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
	}

	synchronized void set(Mode mode, long delayMillis, double lossFraction, long seed) {
		this.mode = mode;
		this.delayMillis = delayMillis;
		this.lossFraction = lossFraction;
		this.random = random(seed);
	}

	/**
	 * Chooses the fault of the next call. A slow call is delayed before or after it takes
	 * effect, so that a caller's timeout leaves both outcomes possible.
	 * @return the fault
	 */
	synchronized Fault next() {
		return switch (this.mode) {
			case UP -> new Fault(false, 0, 0, false);
			case DOWN -> new Fault(true, 0, 0, false);
			case SLOW -> this.random.nextBoolean() ? new Fault(false, this.delayMillis, 0, false)
					: new Fault(false, 0, this.delayMillis, false);
			case LOSE_REPLIES -> new Fault(false, 0, 0, this.random.nextDouble() < this.lossFraction);
		};
	}

	/**
	 * Kind of fault that is injected into the calls.
	 *
	 * @author banyanstile contributors
	 */
	enum Mode {

		UP, DOWN, SLOW, LOSE_REPLIES;

		static Mode of(String name) {
			return switch (name) {
				case "up" -> UP;
				case "down" -> DOWN;
				case "slow" -> SLOW;
				case "lose-replies" -> LOSE_REPLIES;
				default -> throw new IllegalArgumentException("unknown fault " + name);
			};
		}

	}

	/**
	 * Fault of one call.
	 *
	 * @param refused whether the call is refused without effect
	 * @param delayBefore delay before the call takes effect, in milliseconds
	 * @param delayAfter delay after the call took effect, in milliseconds
	 * @param replyLost whether the connection closes instead of a reply
	 * @author banyanstile contributors
	 */
	record Fault(boolean refused, long delayBefore, long delayAfter, boolean replyLost) {
	}

}
