package org.banyanstile.core.stream;

/**
 * Checks that the chunks of a streamed response belong to the request and arrive without
 * gaps. The offset of a chunk is the number of tokens before it. Not safe for use by
 * several threads.
 *
 * @author banyanstile contributors
 */
public final class OffsetChecker {

	private final String requestId;

	private long nextOffset;

	private OffsetChecker(String requestId, long nextOffset) {
		this.requestId = requestId;
		this.nextOffset = nextOffset;
	}

	/**
	 * Creates a checker.
	 * @param requestId the request
	 * @param fromOffset the offset of the first chunk that the caller has not received
	 * @return the checker
	 */
	public static OffsetChecker create(String requestId, long fromOffset) {
		return new OffsetChecker(requestId, fromOffset);
	}

	/**
	 * Checks a chunk.
	 * @param chunkRequestId the request that the chunk names
	 * @param offset the offset that the chunk names
	 * @param length the number of tokens in the chunk, 0 for the end
	 * @return the verdict; only an accepted chunk advances the expected offset
	 */
	public Verdict check(String chunkRequestId, long offset, int length) {
		if (!this.requestId.equals(chunkRequestId)) {
			return Verdict.FOREIGN;
		}
		if (offset > this.nextOffset) {
			return Verdict.GAP;
		}
		if (offset < this.nextOffset) {
			return (offset + length <= this.nextOffset) ? Verdict.DUPLICATE : Verdict.GAP;
		}
		this.nextOffset += length;
		return Verdict.ACCEPTED;
	}

	/**
	 * Returns the offset at which to resume.
	 * @return the next expected offset
	 */
	public long nextOffset() {
		return this.nextOffset;
	}

	/**
	 * Verdict on a chunk.
	 */
	public enum Verdict {

		/**
		 * The chunk is next and is sent to the caller.
		 */
		ACCEPTED,

		/**
		 * The caller has already received the chunk; it is dropped.
		 */
		DUPLICATE,

		/**
		 * Chunks are missing; the connection is closed and resumed.
		 */
		GAP,

		/**
		 * The chunk belongs to another request; the connection is closed and resumed.
		 */
		FOREIGN

	}

}
