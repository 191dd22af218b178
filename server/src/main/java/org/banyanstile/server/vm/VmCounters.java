package org.banyanstile.server.vm;

import java.util.concurrent.atomic.LongAdder;

/**
 * Counts of events on connections between VMs.
 *
 * @author banyanstile contributors
 */
public final class VmCounters {

	private final LongAdder malformedFrames = new LongAdder();

	private final LongAdder failedHandshakes = new LongAdder();

	private final LongAdder refusedConnections = new LongAdder();

	private final LongAdder brokenConnections = new LongAdder();

	private final LongAdder droppedMessages = new LongAdder();

	private final LongAdder bytesSent = new LongAdder();

	/**
	 * Returns the number of malformed or oversized frames, each of which closed its
	 * connection.
	 * @return the counter
	 */
	public LongAdder malformedFrames() {
		return this.malformedFrames;
	}

	/**
	 * Returns the number of connections closed because the peer was not authenticated.
	 * @return the counter
	 */
	public LongAdder failedHandshakes() {
		return this.failedHandshakes;
	}

	/**
	 * Returns the number of connections closed because too many were open.
	 * @return the counter
	 */
	public LongAdder refusedConnections() {
		return this.refusedConnections;
	}

	/**
	 * Returns the number of authenticated connections that broke.
	 * @return the counter
	 */
	public LongAdder brokenConnections() {
		return this.brokenConnections;
	}

	/**
	 * Returns the number of messages dropped because a queue was full.
	 * @return the counter
	 */
	public LongAdder droppedMessages() {
		return this.droppedMessages;
	}

	/**
	 * Returns the number of bytes written on all connections.
	 * @return the counter
	 */
	public LongAdder bytesSent() {
		return this.bytesSent;
	}

}
