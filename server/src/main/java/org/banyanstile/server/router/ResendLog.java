package org.banyanstile.server.router;

import org.banyanstile.core.catalog.RegisteredEndpoint;
import org.jspecify.annotations.Nullable;

/**
 * Logs each resend of one call with both endpoints and the proof that the earlier attempt
 * did not run.
 *
 * @author banyanstile contributors
 */
final class ResendLog {

	private final RouterServices services;

	private final RouterCall call;

	private final String stage;

	private @Nullable RegisteredEndpoint previous;

	private String proof = "";

	/**
	 * Creates the log of one call.
	 * @param services components of this VM
	 * @param call the call
	 * @param stage what is sent: {@code request} or {@code prefill}
	 */
	ResendLog(RouterServices services, RouterCall call, String stage) {
		this.services = services;
		this.call = call;
		this.stage = stage;
	}

	/**
	 * Records that the call is about to be sent. Logs a resend if it was sent before.
	 * @param endpoint the endpoint
	 */
	void begin(RegisteredEndpoint endpoint) {
		RegisteredEndpoint from = this.previous;
		if (from != null) {
			this.services.log()
				.resend(this.call.id(), "stage", this.stage, "from", from.id(), "to", endpoint.id(), "proof",
						this.proof, "repeatable", this.call.route().isRetryable(), "ageMillis", this.call.ageMillis());
		}
		end(endpoint, "none, it ran");
	}

	/**
	 * Records how an attempt ended.
	 * @param endpoint the endpoint
	 * @param proof what proves that it did not run, or that nothing does
	 */
	void end(RegisteredEndpoint endpoint, String proof) {
		this.previous = endpoint;
		this.proof = proof;
	}

}
