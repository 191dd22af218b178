package org.banyanstile.emulator.engine;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;

import org.banyanstile.core.common.Ticker;
import org.banyanstile.emulator.http.KeyLeaks;
import org.jspecify.annotations.Nullable;

/**
 * State of the engine stand-in, and the loop that runs its decode steps.
 *
 * @author banyanstile contributors
 */
final class Engine {

	private static final String CRASH_WORD = "crash-engine";

	/** Factor by which a decode step takes longer while the engine is cold. */
	private static final int COLD_SLOWDOWN = 4;

	private final EngineCommand options;

	private final Ticker ticker;

	private final KvMemory memory;

	private final ColdStart cold;

	private final PrefillGate gate;

	private final PrefillTable prefills;

	private final DecodeBatch batch;

	private final Link exportLink;

	private final Link importLink;

	private final KeyLeaks leaks = new KeyLeaks();

	private final AtomicBoolean exportsStalled = new AtomicBoolean();

	private @Nullable Map<String, Object> load;

	private long loadAt;

	private long fencingToken;

	Engine(EngineCommand options, Ticker ticker) {
		this.options = options;
		this.ticker = ticker;
		long now = ticker.nanos();
		this.memory = new KvMemory(options.kvPieces());
		this.cold = new ColdStart(options.slots(), options.coldSlots(),
				now + TimeUnit.MILLISECONDS.toNanos(options.coldMillis()));
		this.gate = new PrefillGate(options.prefillConcurrency());
		this.prefills = new PrefillTable(TimeUnit.MILLISECONDS.toNanos(options.prefillExpiryMillis()), this.memory);
		this.batch = new DecodeBatch(this.memory, this.cold);
		this.exportLink = new Link(options.piecesPerSecond(), now);
		this.importLink = new Link(options.piecesPerSecond(), now);
	}

	void run() {
		while (!Thread.currentThread().isInterrupted()) {
			long micros = this.options.stepBaseMicros() + this.batch.running() * this.options.stepStreamMicros();
			boolean slow = this.cold.isCold(this.ticker.nanos());
			LockSupport.parkNanos(TimeUnit.MICROSECONDS.toNanos(micros * (slow ? COLD_SLOWDOWN : 1)));
			this.batch.step(now());
			this.prefills.expire(now());
		}
	}

	/**
	 * Runs a prefill.
	 * @param requestId the request
	 * @param prompt the prompt
	 * @param priority the priority, higher first
	 * @return identifier of the result
	 * @throws EngineRefusal if there is no capacity
	 * @throws InterruptedException if interrupted
	 */
	String prefill(String requestId, String prompt, int priority) throws EngineRefusal, InterruptedException {
		if (this.cold.isCold(now())) {
			this.cold.check(this.gate.load(), now());
		}
		this.gate.enter(priority, this.options.prefillQueue());
		try {
			int pieces = KvMemory.pieces(EngineText.tokens(prompt));
			this.memory.reserve(pieces);
			long micros = this.options.prefillBaseMicros()
					+ EngineText.tokens(prompt) * this.options.prefillWordMicros();
			TimeUnit.MICROSECONDS.sleep(micros / 2);
			if (this.options.crashWord() && prompt.contains(CRASH_WORD)) {
				Runtime.getRuntime().halt(1);
			}
			TimeUnit.MICROSECONDS.sleep(micros / 2);
			return this.prefills.add(requestId, prompt, now());
		}
		finally {
			this.gate.leave();
		}
	}

	boolean cancel(String requestId) {
		return this.prefills.cancel(requestId) + this.batch.cancel(requestId, now()) > 0;
	}

	/**
	 * Halts the process if the engine was overloaded while cold and is set to crash then.
	 */
	void crashIfOverloaded() {
		if (this.options.coldCrash() && this.cold.isOverloaded()) {
			Runtime.getRuntime().halt(1);
		}
	}

	synchronized boolean acceptOrder(long token) {
		if (this.options.checksFencing() && token < this.fencingToken) {
			return false;
		}
		this.fencingToken = Math.max(this.fencingToken, token);
		return true;
	}

	void makeCold(long millis) {
		this.cold.makeCold(now() + TimeUnit.MILLISECONDS.toNanos(millis));
	}

	synchronized Map<String, Object> load() {
		long now = now();
		if (this.load == null || now - this.loadAt >= TimeUnit.MILLISECONDS.toNanos(this.options.loadLagMillis())) {
			Map<String, Object> fresh = new LinkedHashMap<>();
			fresh.put("active", this.batch.active());
			fresh.put("capacity", this.cold.capacity(now));
			fresh.put("kvPiecesUsed", this.memory.used());
			fresh.put("kvPieces", this.memory.total());
			fresh.put("cold", this.cold.isCold(now));
			this.load = fresh;
			this.loadAt = now;
		}
		Map<String, Object> report = new LinkedHashMap<>(this.load);
		report.put("ageMillis", TimeUnit.NANOSECONDS.toMillis(now - this.loadAt));
		return report;
	}

	Map<String, Object> stats() {
		Map<String, Object> stats = new LinkedHashMap<>();
		stats.put("prefills", this.prefills.added());
		stats.put("prefillsWasted", this.prefills.wasted());
		stats.put("prefillTokensWasted", this.prefills.wastedTokens());
		this.batch.report(stats);
		stats.put("kvPiecesUsed", this.memory.used());
		stats.put("authorizationSeen", this.leaks.authorizations());
		stats.put("keysSeen", this.leaks.keys());
		return stats;
	}

	long now() {
		return this.ticker.nanos();
	}

	DecodeBatch batch() {
		return this.batch;
	}

	PrefillTable prefills() {
		return this.prefills;
	}

	Link exportLink() {
		return this.exportLink;
	}

	Link importLink() {
		return this.importLink;
	}

	KeyLeaks leaks() {
		return this.leaks;
	}

	AtomicBoolean exportsStalled() {
		return this.exportsStalled;
	}

	long prefillExpiryMillis() {
		return this.options.prefillExpiryMillis();
	}

}
