package org.banyanstile.core.scheduling;

import org.jspecify.annotations.Nullable;

/**
 * Request that has memory at an engine.
 *
 * @author banyanstile contributors
 */
final class Placed {

	private final String requestId;

	private final String vm;

	private final String engine;

	private final long promptTokens;

	private final long tokens;

	private final long placedAt;

	private final EnginePlacement decision;

	private @Nullable String prefillEngine;

	private long confirmedAt;

	private double prefillMillis;

	Placed(Holding holding, String vm, long placedAt, long confirmedAt) {
		this.requestId = holding.requestId();
		this.vm = vm;
		this.engine = holding.engine();
		this.prefillEngine = holding.prefillEngine();
		this.promptTokens = holding.promptTokens();
		this.tokens = holding.tokens();
		this.placedAt = placedAt;
		this.decision = new EnginePlacement(this.requestId, vm, this.engine, this.prefillEngine);
		this.confirmedAt = confirmedAt;
	}

	String requestId() {
		return this.requestId;
	}

	String vm() {
		return this.vm;
	}

	String engine() {
		return this.engine;
	}

	@Nullable
	String prefillEngine() {
		return this.prefillEngine;
	}

	long promptTokens() {
		return this.promptTokens;
	}

	long tokens() {
		return this.tokens;
	}

	long outputTokens() {
		return Math.max(1, this.tokens - this.promptTokens);
	}

	long placedAt() {
		return this.placedAt;
	}

	long confirmedAt() {
		return this.confirmedAt;
	}

	/**
	 * Returns the time that the prefill was expected to take.
	 * @return the time in milliseconds, with the queue of the engine
	 */
	double prefillMillis() {
		return this.prefillMillis;
	}

	void confirm(long now) {
		this.confirmedAt = now;
	}

	void expectPrefill(double millis) {
		this.prefillMillis = millis;
	}

	void endPrefill() {
		this.prefillEngine = null;
	}

	EnginePlacement decision() {
		return this.decision;
	}

}
