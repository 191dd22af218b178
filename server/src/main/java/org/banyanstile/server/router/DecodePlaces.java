package org.banyanstile.server.router;

import java.time.Duration;
import java.util.List;
import java.util.function.Predicate;

import org.banyanstile.core.catalog.EndpointPhase;
import org.banyanstile.core.catalog.EngineTraits;
import org.banyanstile.core.catalog.RegisteredEndpoint;
import org.banyanstile.core.placement.AdmissionLine;
import org.banyanstile.io.http.HttpException;
import org.jspecify.annotations.Nullable;

/**
 * Finds memory for a generation before its prompt is read, so that no prompt is read in
 * vain. The engine's own reservation decides, since only the engine knows its memory; the
 * shared loads only choose which engine to ask. Answers the load in which decode memory
 * is short.
 *
 * @author banyanstile contributors
 */
final class DecodePlaces {

	/**
	 * Engines that are asked in one try.
	 */
	private static final int ASKED = 3;

	/**
	 * Pause between two tries of a waiting request. A running batch frees memory every
	 * few tens of milliseconds.
	 */
	private static final long TRY_MILLIS = 40;

	/**
	 * Typical time from a reserved place to the first event: reading the prompt, moving
	 * its KV cache and the first step.
	 */
	private static final long FIRST_EVENT_MILLIS = 350;

	/**
	 * How long a request that has missed its objective waits for memory that is left
	 * over. A late answer is still worth a part, but a caller that is refused can return
	 * while it has most of its deadline left.
	 */
	private static final long LATE_WAIT_MILLIS = 2000;

	private static final int BLOCK_TOKENS = 16;

	private final RouterServices services;

	private final RouterCall call;

	private final EngineTraits traits;

	private final long tokens;

	DecodePlaces(RouterServices services, RouterCall call, EngineTraits traits, long tokens) {
		this.services = services;
		this.call = call;
		this.traits = traits;
		this.tokens = tokens;
	}

	/**
	 * Waits for a place.
	 * @return the place
	 * @throws RefusalException if there is none in time
	 */
	DecodePlace await() throws RefusalException {
		if (this.tokens > this.traits.memoryTokens()) {
			throw RefusalException.notRun("the request needs more memory than an engine has", 0);
		}
		AdmissionLine line = this.services.line(this.call.service());
		long onTime = this.call.route().objectiveMillis() - FIRST_EVENT_MILLIS;
		boolean late = this.call.ageMillis() > onTime || this.call.isReturning();
		AdmissionLine.Ticket ticket = line.join(late, this.call.priority(), this.tokens);
		long patience = onTime + LATE_WAIT_MILLIS;
		try {
			while (true) {
				if (line.isTurn(ticket)) {
					DecodePlace place = tryReserve((engine) -> true);
					if (place != null) {
						return place;
					}
				}
				if (this.call.isOver() || this.call.ageMillis() > patience) {
					throw RefusalException.notRun("no engine has memory for the request", retrySeconds(line));
				}
				if (!ticket.late() && this.call.ageMillis() > onTime) {
					ticket = line.fallBehind(ticket);
				}
				line.awaitChange(TRY_MILLIS);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw RefusalException.notRun("this VM shuts down", 0.1);
		}
		finally {
			line.leave(ticket);
		}
	}

	/**
	 * Reserves a place at once, past the line, for a stream that its engine keeps
	 * waiting.
	 * @param engine the engine, which is left out
	 * @return the place, or {@code null} if no other engine has memory
	 */
	@Nullable
	DecodePlace tryElsewhere(RegisteredEndpoint engine) {
		return tryReserve((other) -> !other.id().equals(engine.id()));
	}

	// Spreads returning callers over the time in which the engines can take the line.
	private double retrySeconds(AdmissionLine line) {
		double spread = Math.min(3, 0.5 + 0.1 * line.length());
		return 0.5 + spread * Math.random();
	}

	private @Nullable DecodePlace tryReserve(Predicate<RegisteredEndpoint> candidate) {
		List<RegisteredEndpoint> engines = this.services.engines(this.call.service(), EndpointPhase.DECODE)
			.stream()
			.filter(candidate)
			.toList();
		List<RegisteredEndpoint> ordered = this.services.picker()
			.mostFreeMemory(engines, this.traits.memoryTokens(), this.tokens, System.nanoTime());
		int asked = 0;
		for (RegisteredEndpoint engine : ordered) {
			if (asked >= ASKED) {
				break;
			}
			long used = this.services.loads().total(engine.id()).tokens();
			// A reservation covers only the first seconds, so without this bound running
			// requests outgrow the memory and are preempted, and their prompts are read
			// again.
			if (used > 0 && used + this.tokens > this.traits.memoryTokens()) {
				break;
			}
			if (!this.services.mayTakeCold(engine)) {
				continue;
			}
			asked++;
			String reservation = reserve(engine);
			if (reservation != null) {
				this.services.log()
					.request("place", this.call.id(), "engine", engine.id(), "tokens", this.tokens, "usedTokens", used,
							"asked", asked, "waiting", this.services.line(this.call.service()).length(), "ageMillis",
							this.call.ageMillis());
				return new DecodePlace(engine, reservation, this.tokens);
			}
		}
		return null;
	}

	private @Nullable String reserve(RegisteredEndpoint engine) {
		long rounded = (this.tokens + BLOCK_TOKENS - 1) / BLOCK_TOKENS * BLOCK_TOKENS;
		try {
			String reservation = this.services.engines()
				.reserve(engine, rounded, Duration.ofMillis(this.traits.maxReservationMillis()));
			this.services.metrics().reservation((reservation != null) ? "taken" : "full");
			return reservation;
		}
		catch (HttpException ex) {
			this.services.health().unreachable(engine.id(), System.nanoTime());
			this.services.metrics().reservation("unreachable");
			this.services.log().problem("no answer to a reservation at " + engine.id(), ex);
			return null;
		}
	}

}
