package org.banyanstile.core.placement;

import java.util.Comparator;
import java.util.TreeSet;

/**
 * Line of requests that wait for memory at an engine. Requests that can still meet their
 * objective come first, since a late answer is worth a fraction of one in time; among
 * these the more urgent and then the smaller come first, because a small request frees
 * its memory soon and more of them meet their objective. Late requests keep the order of
 * their arrival, so large ones are delayed but not shut out. Only the first few try to
 * reserve memory, so that a long line does not flood the engines with reservations. Safe
 * for use by several threads.
 *
 * @author banyanstile contributors
 */
public final class AdmissionLine {

	private final int width;

	private final TreeSet<Ticket> tickets = new TreeSet<>(Comparator.comparing(Ticket::late)
		.thenComparing(Ticket::priority)
		.thenComparing(Ticket::size)
		.thenComparing(Ticket::number));

	private long numbers;

	private AdmissionLine(int width) {
		this.width = width;
	}

	/**
	 * Creates an empty line.
	 * @param width how many requests may try to reserve memory at once
	 * @return the line
	 */
	public static AdmissionLine create(int width) {
		return new AdmissionLine(width);
	}

	/**
	 * Joins the line.
	 * @param late whether the request cannot meet its objective any more
	 * @param priority rank, 0 for the most urgent
	 * @param size size of the request
	 * @return the ticket
	 */
	public synchronized Ticket join(boolean late, int priority, long size) {
		Ticket ticket = new Ticket(late, priority, late ? 0 : size, this.numbers++);
		this.tickets.add(ticket);
		return ticket;
	}

	/**
	 * Moves a request behind those that can still meet their objective.
	 * @param ticket its ticket
	 * @return the new ticket
	 */
	public synchronized Ticket fallBehind(Ticket ticket) {
		this.tickets.remove(ticket);
		Ticket later = new Ticket(true, ticket.priority(), 0, ticket.number());
		this.tickets.add(later);
		notifyAll();
		return later;
	}

	/**
	 * Leaves the line.
	 * @param ticket the ticket
	 */
	public synchronized void leave(Ticket ticket) {
		this.tickets.remove(ticket);
		notifyAll();
	}

	/**
	 * Returns whether a request may try to reserve memory.
	 * @param ticket its ticket
	 * @return whether it may
	 */
	public synchronized boolean isTurn(Ticket ticket) {
		return this.tickets.headSet(ticket).size() < this.width;
	}

	/**
	 * Wakes the waiting requests after memory became free.
	 */
	public synchronized void memoryFreed() {
		notifyAll();
	}

	/**
	 * Waits for a change of the line or of the free memory.
	 * @param millis longest wait
	 * @throws InterruptedException if the thread is interrupted
	 */
	public synchronized void awaitChange(long millis) throws InterruptedException {
		wait(Math.max(1, millis));
	}

	/**
	 * Returns the number of waiting requests.
	 * @return the number
	 */
	public synchronized int length() {
		return this.tickets.size();
	}

	/**
	 * A place in the line.
	 *
	 * @param late whether the request cannot meet its objective any more
	 * @param priority rank, 0 for the most urgent
	 * @param size size of the request, 0 if it is late
	 * @param number order of arrival
	 * @author banyanstile contributors
	 */
	public record Ticket(boolean late, int priority, long size, long number) {

	}

}
