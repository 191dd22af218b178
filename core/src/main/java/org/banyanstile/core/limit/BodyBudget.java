package org.banyanstile.core.limit;

import java.util.HashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * Memory of one VM for the bodies that it buffers, in bytes. Requests and responses have
 * one half each, and what responses use is charged to the endpoint that sends them. Safe
 * for use by several threads.
 * <p>
 * A large response may be at most as large as what remains free after it, less what its
 * endpoint uses already (dynamic threshold). So one endpoint alone gets up to half of the
 * memory for responses, and several ones get less each. Small bodies have an eighth of
 * the memory to themselves, half of it for endpoints that use little.
 *
 * @author banyanstile contributors
 */
public final class BodyBudget {

	/**
	 * Largest body that counts as small. 300 requests at a time with such bodies fit into
	 * the half of a heap of 110 MB.
	 */
	static final int SMALL_BYTES = 64 * 1024;

	/**
	 * Part of the heap for bodies. The program itself, buffers of connections and garbage
	 * that has not been collected take the rest.
	 */
	private static final double HEAP_RATIO = 0.4;

	private static final int RESERVE_DIVISOR = 8;

	/**
	 * What an endpoint gets even if others have filled the rest: some tens of usual
	 * responses.
	 */
	private static final int ENDPOINT_FLOOR_BYTES = 32 * 1024;

	/**
	 * The floors of 40 endpoints fit into this part of the memory for responses with a
	 * heap of 110 MB.
	 */
	private static final int FLOOR_DIVISOR = 16;

	private final long capacity;

	private final Map<String, Long> endpoints = new HashMap<>();

	private long requestBytes;

	private long responseBytes;

	private BodyBudget(long capacity) {
		this.capacity = capacity;
	}

	/**
	 * Creates the budget of a heap.
	 * @param maxHeapBytes largest size of the heap
	 * @return the budget
	 */
	public static BodyBudget forHeap(long maxHeapBytes) {
		return of((long) (HEAP_RATIO * maxHeapBytes));
	}

	/**
	 * Creates a budget.
	 * @param bytes memory for all bodies together
	 * @return the budget
	 */
	public static BodyBudget of(long bytes) {
		return new BodyBudget(bytes / 2);
	}

	/**
	 * Returns a lease for the body of a request, which holds no bytes yet.
	 * @return the lease
	 */
	public Lease request() {
		return new Lease(null);
	}

	/**
	 * Returns a lease for the body of a response, which holds no bytes yet.
	 * @param endpoint id of the endpoint that sends the response
	 * @return the lease
	 */
	public Lease response(String endpoint) {
		return new Lease(endpoint);
	}

	/**
	 * Returns the memory for the bodies of requests, which equals that for the bodies of
	 * responses.
	 * @return the size in bytes
	 */
	public long capacity() {
		return this.capacity;
	}

	/**
	 * Returns the size of the largest request body that fits while no other is held.
	 * @return the size in bytes
	 */
	public long largestRequest() {
		return this.capacity - this.capacity / RESERVE_DIVISOR;
	}

	/**
	 * Returns whether a body may use the memory that is kept for small ones.
	 * @param bytes size of the body
	 * @return whether it may
	 */
	public static boolean isSmall(long bytes) {
		return bytes <= SMALL_BYTES;
	}

	/**
	 * Returns the memory that bodies of requests hold.
	 * @return the size in bytes
	 */
	public synchronized long requestBytes() {
		return this.requestBytes;
	}

	/**
	 * Returns the memory that bodies of responses hold.
	 * @return the size in bytes
	 */
	public synchronized long responseBytes() {
		return this.responseBytes;
	}

	private boolean fitsRequest(long held, long bytes) {
		long limit = isSmall(held + bytes) ? this.capacity : largestRequest();
		return this.requestBytes + bytes <= limit;
	}

	private boolean fitsResponse(String endpoint, long held, long bytes) {
		long used = this.endpoints.getOrDefault(endpoint, 0L) + bytes;
		long total = this.responseBytes + bytes;
		if (isSmall(held + bytes)) {
			return (used <= ENDPOINT_FLOOR_BYTES) ? total <= this.capacity
					: used <= this.capacity / 2 && total <= this.capacity - this.capacity / FLOOR_DIVISOR;
		}
		return used <= this.capacity - this.capacity / RESERVE_DIVISOR - total;
	}

	private synchronized boolean tryAcquire(Lease lease, long bytes) {
		String endpoint = lease.endpoint;
		boolean fits = (endpoint != null) ? fitsResponse(endpoint, lease.bytes, bytes)
				: fitsRequest(lease.bytes, bytes);
		if (lease.closed || !fits) {
			return false;
		}
		add(lease, bytes);
		return true;
	}

	private void add(Lease lease, long bytes) {
		lease.bytes += bytes;
		String endpoint = lease.endpoint;
		if (endpoint == null) {
			this.requestBytes += bytes;
			return;
		}
		this.responseBytes += bytes;
		this.endpoints.merge(endpoint, bytes, (used, more) -> (used + more != 0) ? used + more : null);
	}

	private synchronized void release(Lease lease, long bytes) {
		long released = Math.min(bytes, lease.bytes);
		if (released > 0) {
			add(lease, -released);
		}
	}

	private synchronized void close(Lease lease) {
		release(lease, lease.bytes);
		lease.closed = true;
	}

	/**
	 * Bytes that one body holds until the lease is closed.
	 *
	 * @author banyanstile contributors
	 */
	public final class Lease implements AutoCloseable {

		private final @Nullable String endpoint;

		private long bytes;

		private boolean closed;

		private Lease(@Nullable String endpoint) {
			this.endpoint = endpoint;
		}

		/**
		 * Takes memory for the body.
		 * @param more number of bytes in addition to those that the body holds
		 * @return whether they fit; if not, none are taken
		 */
		public boolean tryAcquire(long more) {
			return BodyBudget.this.tryAcquire(this, more);
		}

		/**
		 * Returns a part of the memory.
		 * @param fewer number of bytes
		 */
		public void release(long fewer) {
			BodyBudget.this.release(this, fewer);
		}

		/**
		 * Changes the size of the body. A smaller size always fits.
		 * @param size number of bytes that the body is to hold
		 * @return whether they fit; if not, the body holds as many as before
		 */
		public boolean tryResize(long size) {
			synchronized (BodyBudget.this) {
				if (size > this.bytes) {
					return tryAcquire(size - this.bytes);
				}
				release(this.bytes - size);
				return true;
			}
		}

		/**
		 * Returns all memory of the body. Further calls have no effect.
		 */
		@Override
		public void close() {
			BodyBudget.this.close(this);
		}

	}

}
