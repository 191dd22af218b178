package org.banyanstile.server.router;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import org.banyanstile.core.catalog.Catalog;
import org.banyanstile.core.catalog.RegisteredEndpoint;
import org.banyanstile.core.catalog.ServedRoute;
import org.banyanstile.core.common.Ticker;
import org.banyanstile.core.stream.ServedVersion;
import org.banyanstile.core.stream.StreamOrigin;
import org.banyanstile.core.stream.StreamOrigins;
import org.banyanstile.core.stream.VersionHistory;
import org.banyanstile.server.view.EndpointConfirmation;
import org.banyanstile.server.view.FleetTable;
import org.banyanstile.server.view.FleetView;
import org.banyanstile.server.view.TableSource;
import org.banyanstile.server.view.TableSourceException;
import org.jspecify.annotations.Nullable;

/**
 * Finds out which software version began a stream that a caller takes up. While one
 * version has served for as long as a stream lasts, it is this one. Otherwise it has to
 * be known: to this VM, or to the store, to which VMs write the origins of streams while
 * a service has several versions. A stream of unknown version is refused, since events of
 * two versions do not fit together.
 *
 * @author banyanstile contributors
 */
final class StreamVersions {

	/**
	 * Time after which a caller may ask another VM, which may know the stream.
	 */
	private static final double RETRY_AFTER_SECONDS = 0.3;

	/**
	 * Pause before the store is asked once more for the origin of a stream, longer than
	 * the VM that began it takes to write it.
	 */
	private static final long REREAD_MILLIS = 150;

	private static final int MAX_REREADS = 2;

	/**
	 * Longest deadline of a caller relative to the time limit of its route, unless one
	 * was longer.
	 */
	private static final double MAX_DEADLINE_RATIO = 1.25;

	/**
	 * Longest deadline relative to the time limit that is believed.
	 */
	private static final int MAX_BELIEVED_RATIO = 2;

	/**
	 * Time by which VMs may learn of a version at different times, and by which a request
	 * may be under way.
	 */
	private static final long MARGIN_MILLIS = 2000;

	private static final long LEARN_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

	private final FleetView view;

	private final TableSource store;

	private final EndpointConfirmation confirmation;

	private final VersionHistory history;

	private final StreamOrigins origins = StreamOrigins.create();

	private final Ticker ticker;

	private final DecisionLog log;

	/**
	 * Longest deadlines of callers in milliseconds, by route.
	 */
	private final Map<String, Long> longestDeadlines = new ConcurrentHashMap<>();

	private long learnedAtNanos;

	private StreamVersions(FleetView view, TableSource store, Ticker ticker, DecisionLog log) {
		this.view = view;
		this.store = store;
		this.ticker = ticker;
		this.log = log;
		this.confirmation = EndpointConfirmation.create(view, store, ticker, log);
		this.history = VersionHistory.create(ticker.nanos());
		this.learnedAtNanos = ticker.nanos() - LEARN_INTERVAL_NANOS;
	}

	/**
	 * Creates an object that follows the endpoints of a view.
	 * @param view copy of the store's tables
	 * @param store the store
	 * @param ticker time source
	 * @param log log of decisions
	 * @return the object
	 */
	static StreamVersions create(FleetView view, TableSource store, Ticker ticker, DecisionLog log) {
		StreamVersions versions = new StreamVersions(view, store, ticker, log);
		view.onChange(versions::update);
		return versions;
	}

	private void update(FleetTable table) {
		if (table == FleetTable.ENDPOINTS) {
			this.history.update(
					this.view.snapshot()
						.all()
						.values()
						.stream()
						.collect(Collectors.groupingBy(RegisteredEndpoint::service,
								Collectors.mapping(RegisteredEndpoint::version, Collectors.toSet()))),
					this.ticker.nanos());
		}
	}

	/**
	 * Returns the versions that have served, without those of gaps in the copy of the
	 * endpoints.
	 * @return the history
	 */
	VersionHistory history() {
		this.history.watchedSince(this.view.watchedSince(FleetTable.ENDPOINTS));
		return this.history;
	}

	EndpointConfirmation confirmation() {
		return this.confirmation;
	}

	StreamOrigins origins() {
		return this.origins;
	}

	/**
	 * Returns the version that has to continue the stream that a request takes up.
	 * @param call the request
	 * @return the version, or {@code null} if the request begins a stream or any version
	 * may continue it
	 * @throws RejectionException if the version is not known
	 */
	@Nullable
	String resumedVersion(RouterCall call) throws RejectionException {
		CallerFields fields = call.fields();
		noteDeadline(call);
		if (!call.route().resumable() || fields.lastEventId() == null) {
			return null;
		}
		String attempt = fields.resumedAttempt();
		StreamOrigin origin = (attempt != null) ? this.origins.find(attempt) : null;
		if (origin == null) {
			long age = longestAgeNanos(call);
			if (hasServedAlone(call.service(), age) && this.confirmation.confirm()
					&& hasServedAlone(call.service(), age)) {
				String version = versions(call.service(), age).stream().findFirst().orElse(null);
				this.log.request("stream taken up", call.id(), "resumes", attempt, "onlyVersion", version);
				return version;
			}
			origin = (attempt != null) ? awaitOrigin(call, attempt) : null;
		}
		this.log.request("stream taken up", call.id(), "resumes", attempt, "origin", origin, "versions",
				versions(call.service(), longestAgeNanos(call)));
		if (origin == null) {
			throw RejectionException.notRun("the software version that began the stream is not known",
					RETRY_AFTER_SECONDS);
		}
		// What two services write is joined only where the operator moves a route.
		return origin.service().equals(call.service()) ? origin.version() : null;
	}

	// Returns whether no more than one version has served, as far as this VM knows.
	private boolean hasServedAlone(String service, long ageNanos) {
		if (!history().isComplete(ageNanos, this.ticker.nanos())) {
			learn();
		}
		return versions(service, ageNanos).size() < 2 && history().isComplete(ageNanos, this.ticker.nanos());
	}

	private Set<String> versions(String service, long ageNanos) {
		return history().versions(service, ageNanos, this.ticker.nanos());
	}

	private void noteDeadline(RouterCall call) {
		long deadline = call.fields().deadlineMillis();
		if (deadline <= MAX_BELIEVED_RATIO * call.route().timeoutMillis()) {
			this.longestDeadlines.merge(call.route().name(), deadline, Math::max);
		}
	}

	// The deadline of a request that takes a stream up is what is left of that of the
	// request that began it.
	private long longestAgeNanos(RouterCall call) {
		long left = Math.max(0, call.fields().deadlineMillis());
		long age = longestStreamMillis(call.route()) - left + call.ageMillis() + MARGIN_MILLIS;
		return TimeUnit.MILLISECONDS.toNanos(Math.max(MARGIN_MILLIS, age));
	}

	private long longestStreamMillis(ServedRoute route) {
		return Math.max((long) (MAX_DEADLINE_RATIO * route.timeoutMillis()),
				this.longestDeadlines.getOrDefault(route.name(), 0L));
	}

	/**
	 * Returns the services whose streams may be of several versions.
	 * @return their names
	 */
	Set<String> servicesWithSeveral() {
		Catalog catalog = this.view.snapshot().catalog();
		if (catalog == null) {
			return Set.of();
		}
		long now = this.ticker.nanos();
		return catalog.routes()
			.stream()
			.filter(ServedRoute::resumable)
			.flatMap((route) -> route.services()
				.stream()
				.map((weighted) -> weighted.service())
				.filter((service) -> this.history
					.versions(service, TimeUnit.MILLISECONDS.toNanos(longestStreamMillis(route) + MARGIN_MILLIS), now)
					.size() > 1))
			.collect(Collectors.toSet());
	}

	/**
	 * Reads from the store which versions have served before this VM started. The store
	 * holds none of a service that had one only.
	 * @return whether the store responded, now or shortly before
	 */
	synchronized boolean learn() {
		long now = this.ticker.nanos();
		if (now - this.learnedAtNanos < LEARN_INTERVAL_NANOS) {
			return history().isComplete(VersionHistory.MEMORY_NANOS, now);
		}
		this.learnedAtNanos = now;
		try {
			// A version may have served until the next write was due.
			history().merge(this.store.servedVersions()
				.stream()
				.map((version) -> new ServedVersion(version.service(), version.version(),
						Math.max(0, version.ageMillis() - StreamRecorder.MAX_WRITE_INTERVAL_MILLIS)))
				.toList(), TimeUnit.NANOSECONDS.toMillis(VersionHistory.MEMORY_NANOS), this.ticker.nanos());
			return true;
		}
		catch (TableSourceException ex) {
			this.log.problem("the versions that have served are not known; streams of other VMs are refused", ex);
			return false;
		}
	}

	// The VM that began the stream may not have written its origin yet.
	private @Nullable StreamOrigin awaitOrigin(RouterCall call, String attempt) {
		try {
			StreamOrigin origin = readOrigin(attempt);
			for (int i = 0; origin == null && i < MAX_REREADS && !call.isCancelledOrTimedOut(); i++) {
				TimeUnit.MILLISECONDS.sleep(REREAD_MILLIS);
				origin = readOrigin(attempt);
			}
			return origin;
		}
		catch (TableSourceException ex) {
			this.log.problem("the origin of stream " + attempt + " is not known; the stream is refused", ex);
			return null;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return null;
		}
	}

	private @Nullable StreamOrigin readOrigin(String attempt) throws TableSourceException {
		StreamOrigin stored = this.store.streamOrigin(attempt);
		if (stored != null) {
			this.origins.read(attempt, stored, this.ticker.nanos());
		}
		return stored;
	}

	/**
	 * Records the engine that begins the stream of a request, or goes on with it.
	 * @param call the request
	 * @param engine the engine
	 */
	void began(RouterCall call, RegisteredEndpoint engine) {
		String attempt = stream(call);
		if (attempt != null && call.route().resumable()) {
			this.origins.began(attempt, new StreamOrigin(engine.service(), engine.version()), this.ticker.nanos());
		}
	}

	/**
	 * Records that the caller has received the whole stream.
	 * @param call the request
	 */
	void completed(RouterCall call) {
		String attempt = stream(call);
		if (attempt != null) {
			this.origins.completed(attempt);
		}
	}

	// Callers name the attempt that brought the first event.
	private static @Nullable String stream(RouterCall call) {
		CallerFields fields = call.fields();
		return (fields.lastEventId() != null && fields.resumedAttempt() != null) ? fields.resumedAttempt()
				: fields.attemptId();
	}

}
