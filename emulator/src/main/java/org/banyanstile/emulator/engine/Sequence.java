package org.banyanstile.emulator.engine;

/**
 * A request in the decode engine, from the start of its import to 5 s after its end.
 * Guarded by the lock of its {@link DecodeBatch}.
 *
 * @author banyanstile contributors
 */
final class Sequence {

	final String requestId;

	final String prompt;

	final String digest;

	final long createdAt;

	String holder;

	int pieces;

	int limit;

	int generated;

	State state = State.IMPORTING;

	long changedAt;

	/** Number of the newest decode connection; older ones end. */
	int connection;

	Sequence(String requestId, String holder, String prompt, int pieces, long now) {
		this.requestId = requestId;
		this.holder = holder;
		this.prompt = prompt;
		this.digest = EngineText.digest(prompt);
		this.pieces = pieces;
		this.createdAt = now;
		this.changedAt = now;
	}

	boolean isActive() {
		return this.state != State.FINISHED && this.state != State.CANCELLED;
	}

	String finishReason() {
		return (this.generated >= EngineText.length(this.prompt)) ? "stop" : "length";
	}

	/**
	 * Progress of a sequence.
	 *
	 * @author banyanstile contributors
	 */
	enum State {

		IMPORTING, IMPORTED, RUNNING, FINISHED, CANCELLED

	}

}
