package org.banyanstile.server.router;

/**
 * Times at which the events of a stream reach this VM. A caller judges a stream by its
 * first event and by its longest pause. Not safe for use by several threads.
 *
 * @author banyanstile contributors
 */
final class StreamTiming {

	private long firstEventMillis = -1;

	private long lastEventMillis;

	private long longestPauseMillis;

	private int events;

	private int eventsAtLongestPause;

	/**
	 * Records complete events that arrived together.
	 * @param count number of events
	 * @param ageMillis time from the arrival of the request
	 */
	void eventsArrived(int count, long ageMillis) {
		if (count <= 0) {
			return;
		}
		if (this.events == 0) {
			this.firstEventMillis = ageMillis;
		}
		else if (ageMillis - this.lastEventMillis > this.longestPauseMillis) {
			this.longestPauseMillis = ageMillis - this.lastEventMillis;
			this.eventsAtLongestPause = this.events;
		}
		this.lastEventMillis = ageMillis;
		this.events += count;
	}

	/**
	 * Returns the time to the first event.
	 * @return milliseconds from the arrival of the request, -1 before the first event
	 */
	long firstEventMillis() {
		return this.firstEventMillis;
	}

	/**
	 * Returns the time since the first event.
	 * @param ageMillis time from the arrival of the request
	 * @return the time in milliseconds, 0 before the first event
	 */
	long millisSinceFirstEvent(long ageMillis) {
		return (this.events > 0) ? ageMillis - this.firstEventMillis : 0;
	}

	/**
	 * Returns the time to the last event.
	 * @return milliseconds from the arrival of the request, 0 before the first event
	 */
	long lastEventMillis() {
		return this.lastEventMillis;
	}

	/**
	 * Returns the number of events.
	 * @return the number
	 */
	int events() {
		return this.events;
	}

	/**
	 * Returns the longest pause between two events.
	 * @return milliseconds, 0 before the second event
	 */
	long longestPauseMillis() {
		return this.longestPauseMillis;
	}

	/**
	 * Returns how many events had arrived when the longest pause began.
	 * @return the number, 0 before the second event
	 */
	int eventsAtLongestPause() {
		return this.eventsAtLongestPause;
	}

}
