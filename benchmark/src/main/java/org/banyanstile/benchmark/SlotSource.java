package org.banyanstile.benchmark;

import java.util.Optional;
import java.util.function.Consumer;

import org.banyanstile.core.admission.SlotOutcome;

/**
 * Finds decode engines for requests.
 *
 * @author banyanstile contributors
 */
interface SlotSource {

	/**
	 * Requests an engine.
	 * @param job the request
	 * @param maxWaitNanos the longest useful wait
	 * @param result receives the engine, or empty if the request is refused
	 */
	void request(Job job, long maxWaitNanos, Consumer<Optional<FakeEngine>> result);

	/**
	 * Releases an engine.
	 * @param job the request
	 * @param engine the engine
	 * @param outcome the outcome
	 */
	void release(Job job, FakeEngine engine, SlotOutcome outcome);

	/**
	 * Returns the messages sent so far.
	 * @return the number of messages
	 */
	long messages();

}
