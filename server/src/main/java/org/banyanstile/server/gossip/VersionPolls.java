package org.banyanstile.server.gossip;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import org.banyanstile.core.membership.VersionPoll;

/**
 * Polls that wait for answers of other VMs. Safe for use by several threads.
 *
 * @author banyanstile contributors
 */
final class VersionPolls {

	/**
	 * Longest wait for answers, several times the latency between data centres.
	 */
	static final long TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

	private final Map<Long, VersionPoll> open = new ConcurrentHashMap<>();

	/**
	 * Opens a poll. Its number is random, so that no earlier life of this VM has asked
	 * with it.
	 * @param poll the poll
	 * @return its number
	 */
	long open(VersionPoll poll) {
		long number = ThreadLocalRandom.current().nextLong();
		this.open.put(number, poll);
		return number;
	}

	/**
	 * Records an answer of another VM.
	 * @param answer the answer
	 */
	void answered(GossipVersionAnswer answer) {
		VersionPoll poll = this.open.get(answer.number());
		if (poll == null) {
			return;
		}
		synchronized (poll) {
			poll.answered(answer.vm(), answer.version());
			poll.notifyAll();
		}
	}

	/**
	 * Waits until a poll is decided or the time for answers is over, and closes it.
	 * @param number number of the poll
	 * @return whether this VM is known not to be behind
	 */
	boolean await(long number) {
		VersionPoll poll = this.open.get(number);
		if (poll == null) {
			return false;
		}
		long end = System.nanoTime() + TIMEOUT_NANOS;
		synchronized (poll) {
			try {
				long left = TIMEOUT_NANOS;
				while (!poll.isDecided() && left > 0) {
					TimeUnit.NANOSECONDS.timedWait(poll, left);
					left = end - System.nanoTime();
				}
				return poll.isCurrent();
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return false;
			}
			finally {
				this.open.remove(number);
			}
		}
	}

}
