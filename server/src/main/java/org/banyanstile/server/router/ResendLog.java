package org.banyanstile.server.router;

import java.util.function.LongSupplier;

import org.jspecify.annotations.Nullable;

/**
 * Logs each resend of one call with both endpoints and the proof that the earlier attempt
 * did not run. Used by one thread.
 *
 * @author banyanstile contributors
 */
public final class ResendLog {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final DecisionLog log;

	private final @Nullable String requestId;

	private final String stage;

	private final boolean repeatable;

	private final LongSupplier ageMillis;

	private @Nullable String previous;

	private String proof = "";

	private ResendLog(DecisionLog log, @Nullable String requestId, String stage, boolean repeatable,
			LongSupplier ageMillis) {
		this.log = log;
		this.requestId = requestId;
		this.stage = stage;
		this.repeatable = repeatable;
		this.ageMillis = ageMillis;
	}

	/**
	 * Creates the log of one call.
	 * @param log receives the lines
	 * @param requestId id of the request, {@code null} if it has none
	 * @param stage what is sent, for example {@code request} or {@code prefill}
	 * @param repeatable whether the call may run more than once
	 * @param ageMillis gives the time since the request arrived, in milliseconds
	 * @return the log
	 */
	public static ResendLog create(DecisionLog log, @Nullable String requestId, String stage, boolean repeatable,
			LongSupplier ageMillis) {
		return new ResendLog(log, requestId, stage, repeatable, ageMillis);
	}

	/**
	 * Creates the log of a call that has just arrived.
	 * @param log receives the lines
	 * @param requestId id of the request
	 * @param stage what is sent, for example {@code request} or {@code prefill}
	 * @param repeatable whether the call may run more than once
	 * @return the log
	 */
	public static ResendLog startingNow(DecisionLog log, String requestId, String stage, boolean repeatable) {
		long startNanos = System.nanoTime();
		return create(log, requestId, stage, repeatable, () -> (System.nanoTime() - startNanos) / NANOS_PER_MILLI);
	}

	/**
	 * Records that the call is about to be sent. Logs a resend if it was sent before.
	 * @param endpoint name of the endpoint
	 */
	public void begin(String endpoint) {
		String from = this.previous;
		if (from != null) {
			this.log.resend(this.requestId, "stage", this.stage, "from", from, "to", endpoint, "proof", this.proof,
					"repeatable", this.repeatable, "ageMillis", this.ageMillis.getAsLong());
		}
		end(endpoint, "none, it ran");
	}

	/**
	 * Records how an attempt ended.
	 * @param endpoint name of the endpoint
	 * @param proof what proves that it did not run, or that nothing does
	 */
	public void end(String endpoint, String proof) {
		this.previous = endpoint;
		this.proof = proof;
	}

}
