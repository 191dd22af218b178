package org.banyanstile.emulator.engine;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

/**
 * Options of the engine stand-in.
 *
 * @author banyanstile contributors
 */
@Parameters(commandDescription = "run an engine")
public final class EngineCommand {

	@Parameter(names = "--listen", description = "address as ip:port")
	private String listen = "127.0.0.1:9101";

	@Parameter(names = "--slots", description = "largest number of requests in the decode batch")
	private int slots = 20;

	@Parameter(names = "--kv-pieces", description = "KV memory in pieces of 1,000 tokens")
	private int kvPieces = 400;

	@Parameter(names = "--prefill-concurrency", description = "prefills that run at a time")
	private int prefillConcurrency = 1;

	@Parameter(names = "--prefill-queue", description = "prefills that may wait")
	private int prefillQueue = 64;

	@Parameter(names = "--prefill-base-micros", description = "cost of any prefill")
	private long prefillBaseMicros = 30000;

	@Parameter(names = "--prefill-word-micros", description = "cost of each prompt word")
	private long prefillWordMicros = 500;

	@Parameter(names = "--prefill-expiry-millis", description = "time for which a prefill result is kept")
	private long prefillExpiryMillis = 900;

	@Parameter(names = "--pieces-per-second", description = "rate of KV export, and of KV import")
	private int piecesPerSecond = 200;

	@Parameter(names = "--step-base-micros", description = "time of a decode step")
	private long stepBaseMicros = 10000;

	@Parameter(names = "--step-stream-micros",
			description = "additional time of a decode step for each request in the batch")
	private long stepStreamMicros = 500;

	@Parameter(names = "--load-lag-millis", description = "age up to which a load report is served from cache")
	private long loadLagMillis = 500;

	@Parameter(names = "--cold-millis", description = "time after the start during which the engine is cold")
	private long coldMillis = 0;

	@Parameter(names = "--cold-slots", description = "capacity while cold")
	private int coldSlots = 2;

	@Parameter(names = "--cold-crash", description = "exit after as many refusals while cold as there are slots")
	private boolean coldCrash;

	@Parameter(names = "--crash-word", description = "exit when a prompt contains the word crash-engine")
	private boolean crashWord;

	@Parameter(names = "--checks-fencing", description = "refuse orders with a stale fencing token")
	private boolean checksFencing;

	String listen() {
		return this.listen;
	}

	int slots() {
		return this.slots;
	}

	int kvPieces() {
		return this.kvPieces;
	}

	int prefillConcurrency() {
		return this.prefillConcurrency;
	}

	int prefillQueue() {
		return this.prefillQueue;
	}

	long prefillBaseMicros() {
		return this.prefillBaseMicros;
	}

	long prefillWordMicros() {
		return this.prefillWordMicros;
	}

	long prefillExpiryMillis() {
		return this.prefillExpiryMillis;
	}

	int piecesPerSecond() {
		return this.piecesPerSecond;
	}

	long stepBaseMicros() {
		return this.stepBaseMicros;
	}

	long stepStreamMicros() {
		return this.stepStreamMicros;
	}

	long loadLagMillis() {
		return this.loadLagMillis;
	}

	long coldMillis() {
		return this.coldMillis;
	}

	int coldSlots() {
		return this.coldSlots;
	}

	boolean coldCrash() {
		return this.coldCrash;
	}

	boolean crashWord() {
		return this.crashWord;
	}

	boolean checksFencing() {
		return this.checksFencing;
	}

}
