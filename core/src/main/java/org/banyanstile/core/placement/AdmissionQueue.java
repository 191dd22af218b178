package org.banyanstile.core.placement;

import java.util.Comparator;
import java.util.TreeSet;

/**
 * Priority queue of the requests that wait for memory at an engine. Requests that can
 * still meet their latency objective come first, since a late response is worth only a
 * fraction of one that is on time. Among these, the more urgent and then the smaller
 * requests come first: a small request frees its memory soon, so more requests meet their
 * objective. Late requests keep their order of arrival, so large ones are delayed but do
 * not starve. Only the first few requests try to reserve memory, so that a long queue
 * does not flood the engines with reservations. Safe for use by several threads.
 *
 * @author banyanstile contributors
 */
public final class AdmissionQueue {

	private final int maxReserving;

	private final TreeSet<Ticket> tickets = new TreeSet<>(Comparator.comparing(Ticket::late)
		.thenComparing(Ticket::priority)
		.thenComparing(Ticket::size)
		.thenComparing(Ticket::number));

	private long nextNumber;

	private AdmissionQueue(int maxReserving) {
		this.maxReserving = maxReserving;
	}

	/**
	 * Creates an empty queue.
	 * @param maxReserving how many requests may try to reserve memory at once
	 * @return the queue
	 */
	public static AdmissionQueue create(int maxReserving) {
		return new AdmissionQueue(maxReserving);
	}

	/**
	 * Adds a request to the queue.
	 * @param late whether the request can no longer meet its objective
	 * @param priority rank, 0 for the most urgent
	 * @param size tokens that the request needs
	 * @return the ticket
	 */
	public synchronized Ticket add(boolean late, int priority, long size) {
		Ticket ticket = new Ticket(late, priority, late ? 0 : size, this.nextNumber++);
		this.tickets.add(ticket);
		return ticket;
	}

	/**
	 * Moves a request behind those that can still meet their objective.
	 * @param ticket its ticket
	 * @return the new ticket
	 */
	public synchronized Ticket markLate(Ticket ticket) {
		this.tickets.remove(ticket);
		Ticket later = new Ticket(true, ticket.priority(), 0, ticket.number());
		this.tickets.add(later);
		notifyAll();
		return later;
	}

	/**
	 * Removes a request from the queue.
	 * @param ticket the ticket
	 */
	public synchronized void remove(Ticket ticket) {
		this.tickets.remove(ticket);
		notifyAll();
	}

	/**
	 * Returns whether a request may try to reserve memory.
	 * @param ticket its ticket
	 * @return whether it may
	 */
	public synchronized boolean mayReserve(Ticket ticket) {
		return this.tickets.headSet(ticket).size() < this.maxReserving;
	}

	/**
	 * Wakes the queued requests after an engine freed memory.
	 */
	public synchronized void memoryFreed() {
		notifyAll();
	}

	/**
	 * Waits until the queue or the free memory changes.
	 * @param millis longest wait
	 * @throws InterruptedException if the thread is interrupted
	 */
	public synchronized void awaitChange(long millis) throws InterruptedException {
		wait(Math.max(1, millis));
	}

	/**
	 * Returns the number of queued requests.
	 * @return the number
	 */
	public synchronized int length() {
		return this.tickets.size();
	}

	/**
	 * Position of a request in the queue.
	 *
	 * @param late whether the request can no longer meet its objective
	 * @param priority rank, 0 for the most urgent
	 * @param size tokens that the request needs, 0 if it is late
	 * @param number order of arrival
	 * @author banyanstile contributors
	 */
	public record Ticket(boolean late, int priority, long size, long number) {

	}

}
