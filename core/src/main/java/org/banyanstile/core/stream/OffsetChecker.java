package org.banyanstile.core.stream;

/**
 * Checks that the parts of an answer belong to the request and arrive without gaps. The
 * offset of a part is the number of tokens before it. Not safe for use by several
 * threads.
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
	 * @param fromOffset the offset of the first part that the caller lacks
	 * @return the checker
	 */
	public static OffsetChecker create(String requestId, long fromOffset) {
		return new OffsetChecker(requestId, fromOffset);
	}

	/**
	 * Checks a part.
	 * @param partRequestId the request that the part names
	 * @param offset the offset that the part names
	 * @param length the number of tokens in the part, 0 for the end
	 * @return the verdict; only an accepted part advances the expected offset
	 */
	public Verdict check(String partRequestId, long offset, int length) {
		if (!this.requestId.equals(partRequestId)) {
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
	 * Verdict on a part.
	 */
	public enum Verdict {

		/**
		 * The part is next and goes to the caller.
		 */
		ACCEPTED,

		/**
		 * The caller has the part; it is dropped.
		 */
		DUPLICATE,

		/**
		 * Parts are missing; the connection is closed and resumed.
		 */
		GAP,

		/**
		 * The part belongs to another request; the connection is closed and resumed.
		 */
		FOREIGN

	}

}
