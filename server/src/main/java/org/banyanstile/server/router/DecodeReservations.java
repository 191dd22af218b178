package org.banyanstile.server.router;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import org.banyanstile.core.catalog.EndpointRole;
import org.banyanstile.core.catalog.EngineTraits;
import org.banyanstile.core.catalog.RegisteredEndpoint;
import org.banyanstile.core.placement.AdmissionQueue;
import org.banyanstile.core.placement.MemoryHeadroom;
import org.banyanstile.io.http.HttpException;
import org.banyanstile.server.scheduling.PlacementAnswer;
import org.banyanstile.server.scheduling.PlacementDemand;
import org.banyanstile.server.scheduling.SchedulerClient;
import org.banyanstile.server.scheduling.SchedulerTicket;
import org.jspecify.annotations.Nullable;

/**
 * Reserves memory at a decode engine before the prompt is prefilled, so that no prefill
 * is wasted. The engine decides on the reservation, since only the engine knows its free
 * memory; the shared loads only determine which engines are asked. This matters under
 * loads in which decode memory is scarce.
 *
 * @author banyanstile contributors
 */
final class DecodeReservations {

	/**
	 * Maximum number of engines asked for a reservation in one attempt.
	 */
	private static final int MAX_ENGINES_ASKED = 3;

	/**
	 * Interval between reservation attempts of a queued request. A running batch frees
	 * memory every few tens of milliseconds.
	 */
	private static final long RETRY_INTERVAL_MILLIS = 40;

	/**
	 * Typical time from the reservation to the first event: prefill, transfer of the KV
	 * cache and the first decode step.
	 */
	private static final long TYPICAL_FIRST_EVENT_MILLIS = 350;

	/**
	 * Maximum time that a request waits for unclaimed memory after it can no longer meet
	 * its objective. A late response still has some value, but a caller that is rejected
	 * can retry while most of its deadline remains.
	 */
	private static final long MAX_LATE_WAIT_MILLIS = 2000;

	private static final int BLOCK_TOKENS = 16;

	private static final double MILLIS_PER_SECOND = 1000;

	private static final String NO_VERSION = "no engine of the software version that began the stream serves";

	private static final String NO_MEMORY = "no engine has enough free memory for the request";

	private final RouterServices services;

	private final RouterCall call;

	private final EngineTraits traits;

	private final long tokens;

	private final @Nullable String version;

	/**
	 * Creates the reservations of a request.
	 * @param services services of the router
	 * @param call the request
	 * @param traits traits of the engines
	 * @param tokens memory that the request needs
	 * @param version software version that has to continue the stream, {@code null} if
	 * the stream has not begun
	 */
	DecodeReservations(RouterServices services, RouterCall call, EngineTraits traits, long tokens,
			@Nullable String version) {
		this.services = services;
		this.call = call;
		this.traits = traits;
		this.tokens = tokens;
		this.version = version;
	}

	/**
	 * Waits for a reservation: at the engine that the fleet's scheduler chooses, or in
	 * the admission queue of this VM if there is no scheduler or none answers.
	 * @return the reservation
	 * @throws RejectionException if no engine has memory in time
	 */
	DecodeReservation awaitReservation() throws RejectionException {
		if (this.tokens > this.traits.memoryTokens()) {
			throw RejectionException.notRun("the request needs more memory than an engine has", 0);
		}
		SchedulerClient scheduler = this.services.scheduler();
		// The scheduler does not know to which version a request is assigned or bound.
		if (scheduler == null || this.services.rollouts().hasOrder(this.call.service()) || isBoundToOneOfSeveral()) {
			return awaitLocalReservation();
		}
		DecodeReservation reservation = awaitScheduledReservation(scheduler);
		return (reservation != null) ? reservation : held(scheduler, awaitLocalReservation());
	}

	private boolean isBoundToOneOfSeveral() {
		return this.version != null && !usableEngines().stream().allMatch(this::hasRequiredVersion);
	}

	private boolean hasRequiredVersion(RegisteredEndpoint engine) {
		return this.version == null || this.version.equals(engine.version());
	}

	// Returns whether engines of other versions only serve, in whatever role.
	private boolean hasVersionLeft() {
		List<RegisteredEndpoint> engines = usableEngines();
		return !engines.isEmpty() && engines.stream().noneMatch(this::hasRequiredVersion);
	}

	private List<RegisteredEndpoint> usableEngines() {
		return this.services.view().snapshot().usable().getOrDefault(this.call.service(), List.of());
	}

	// Returns the reservation, or {@code null} if no scheduler answers.
	private @Nullable DecodeReservation awaitScheduledReservation(SchedulerClient scheduler) throws RejectionException {
		SchedulerTicket ticket = scheduler.open(demand());
		if (ticket == null) {
			return null;
		}
		DecodeReservation reservation = null;
		try {
			while (true) {
				PlacementAnswer answer = ticket.await(this::isTooLateForFirstEvent);
				if (answer instanceof PlacementAnswer.Placed placed) {
					reservation = tryReserve(placed, ticket);
					if (reservation != null) {
						return reservation;
					}
					ticket.engineRefused(placed.engine());
					this.services.log()
						.request("placement refused by engine", this.call.id(), "engine", placed.engine(), "ageMillis",
								this.call.ageMillis());
				}
				else if (answer instanceof PlacementAnswer.Refused refused) {
					throw RejectionException.notRun(NO_MEMORY, refused.retryAfterMillis() / MILLIS_PER_SECOND);
				}
				else if (answer instanceof PlacementAnswer.Unanswered) {
					this.services.log()
						.request("no scheduler answers", this.call.id(), "ageMillis", this.call.ageMillis());
					return null;
				}
				else if (this.call.isCancelledForExit()) {
					throw RejectionException.shuttingDown();
				}
				else {
					throw RejectionException.notRun(NO_MEMORY, 1);
				}
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw RejectionException.shuttingDown();
		}
		finally {
			if (reservation == null) {
				ticket.close(0);
			}
		}
	}

	private boolean isTooLateForFirstEvent() {
		return this.call.isCancelledOrTimedOut() || this.call.remainingMillis() < TYPICAL_FIRST_EVENT_MILLIS;
	}

	private @Nullable DecodeReservation tryReserve(PlacementAnswer.Placed placed, SchedulerTicket ticket) {
		RegisteredEndpoint engine = this.services.engines(this.call.service(), EndpointRole.DECODE)
			.stream()
			.filter((candidate) -> candidate.id().equals(placed.engine()) && hasRequiredVersion(candidate))
			.findFirst()
			.orElse(null);
		if (engine == null || !this.services.tryAcquireRate(engine)) {
			return null;
		}
		String id = reserve(engine);
		if (id == null) {
			return null;
		}
		this.services.log()
			.request("place", this.call.id(), "engine", engine.id(), "tokens", this.tokens, "prefillEngine",
					placed.prefillEngine(), "ageMillis", this.call.ageMillis());
		return new DecodeReservation(engine, id, this.tokens, ticket, true);
	}

	private DecodeReservation held(SchedulerClient scheduler, DecodeReservation reservation) {
		return new DecodeReservation(reservation.engine(), reservation.id(), reservation.tokens(),
				scheduler.hold(demand(), reservation.engine()), false);
	}

	private PlacementDemand demand() {
		Set<String> unusable = unusableEngines();
		long onTimeMillis = this.call.isCallerRetry() ? -1
				: this.call.route().objectiveMillis() - this.call.ageMillis();
		return new PlacementDemand(this.call.service(), this.call.priority(),
				Math.max(0, this.call.fields().promptTokens()), this.tokens, onTimeMillis, this.call.remainingMillis(),
				this.call.route().maxPauseMillis(), unusable);
	}

	// Engines that this VM cannot reach, unless it can reach none.
	private Set<String> unusableEngines() {
		long now = System.nanoTime();
		List<RegisteredEndpoint> engines = this.services.engines(this.call.service(), EndpointRole.DECODE);
		Set<String> unusable = engines.stream()
			.map(RegisteredEndpoint::id)
			.filter((engine) -> !this.services.health().isUsable(engine, now))
			.collect(Collectors.toSet());
		return (unusable.size() < engines.size()) ? unusable : Set.of();
	}

	private DecodeReservation awaitLocalReservation() throws RejectionException {
		AdmissionQueue queue = this.services.admissionQueue(this.call.service());
		long latestOnTimeMillis = this.call.route().objectiveMillis() - TYPICAL_FIRST_EVENT_MILLIS;
		boolean late = this.call.ageMillis() > latestOnTimeMillis || this.call.isCallerRetry();
		AdmissionQueue.Ticket ticket = queue.add(late, this.call.priority(), this.tokens);
		long maxAgeMillis = latestOnTimeMillis + MAX_LATE_WAIT_MILLIS;
		try {
			while (true) {
				if (queue.mayReserve(ticket)) {
					DecodeReservation reservation = tryReserve((engine) -> true, ticket.late());
					if (reservation != null) {
						return reservation;
					}
				}
				if (this.call.isCancelledForExit()) {
					throw RejectionException.shuttingDown();
				}
				if (hasVersionLeft()) {
					throw RejectionException.notRun(NO_VERSION, 0);
				}
				if (this.call.isCancelledOrTimedOut() || this.call.ageMillis() > maxAgeMillis) {
					throw RejectionException.notRun(NO_MEMORY, retryAfterSeconds(queue));
				}
				if (!ticket.late() && this.call.ageMillis() > latestOnTimeMillis) {
					ticket = queue.markLate(ticket);
				}
				queue.awaitChange(RETRY_INTERVAL_MILLIS);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw RejectionException.shuttingDown();
		}
		finally {
			queue.remove(ticket);
		}
	}

	/**
	 * Tries to reserve memory at another engine, bypassing the admission queue, for a
	 * stream whose engine sends no events.
	 * @param engine the current engine of the stream, which is excluded
	 * @return the reservation, or {@code null} if no other engine has memory
	 */
	@Nullable
	DecodeReservation tryReserveElsewhere(RegisteredEndpoint engine) {
		DecodeReservation reservation = tryReserve((other) -> !other.id().equals(engine.id()), false);
		SchedulerClient scheduler = this.services.scheduler();
		return (reservation != null && scheduler != null) ? held(scheduler, reservation) : reservation;
	}

	// Spreads the retries of callers over the time in which the engines can work off the
	// admission queue.
	private double retryAfterSeconds(AdmissionQueue queue) {
		double spread = Math.min(3, 0.5 + 0.1 * queue.length());
		return 0.5 + spread * Math.random();
	}

	private @Nullable DecodeReservation tryReserve(Predicate<RegisteredEndpoint> candidate, boolean late) {
		List<RegisteredEndpoint> engines = decodeEngines().stream().filter(candidate).toList();
		List<RegisteredEndpoint> ordered = this.services.picker()
			.mostFreeMemory(engines, this.traits.memoryTokens(), this.tokens, System.nanoTime());
		int asked = 0;
		for (RegisteredEndpoint engine : ordered) {
			if (asked >= MAX_ENGINES_ASKED) {
				break;
			}
			long used = this.services.loads().total(engine.id()).tokens();
			// A reservation covers only the first seconds of a request, so without this
			// bound running requests outgrow the memory and are preempted, and their
			// prompts are prefilled again.
			if (!MemoryHeadroom.fits(this.traits.memoryTokens(), used, this.tokens, late)) {
				break;
			}
			if (!this.services.tryAcquireRate(engine)) {
				continue;
			}
			asked++;
			String id = reserve(engine);
			if (id != null) {
				this.services.log()
					.request("place", this.call.id(), "engine", engine.id(), "tokens", this.tokens, "usedTokens", used,
							"asked", asked, "waiting", this.services.admissionQueue(this.call.service()).length(),
							"ageMillis", this.call.ageMillis());
				return new DecodeReservation(engine, id, this.tokens, null, false);
			}
		}
		return null;
	}

	private List<RegisteredEndpoint> decodeEngines() {
		return (this.version != null) ? this.services.decodeEngines(this.call.service(), this.version)
				: this.services.decodeEngines(this.call);
	}

	private @Nullable String reserve(RegisteredEndpoint engine) {
		long roundedTokens = (this.tokens + BLOCK_TOKENS - 1) / BLOCK_TOKENS * BLOCK_TOKENS;
		try {
			String id = this.services.engineCalls()
				.reserve(engine, roundedTokens, Duration.ofMillis(this.traits.maxReservationMillis()));
			this.services.metrics().reservation((id != null) ? "taken" : "full");
			return id;
		}
		catch (HttpException ex) {
			this.services.health().unreachable(engine.id(), System.nanoTime());
			this.services.metrics().reservation("unreachable");
			this.services.log().problem("engine " + engine.id() + " did not respond to a reservation request", ex);
			return null;
		}
	}

}
