package org.banyanstile.emulator.engine;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.jspecify.annotations.Nullable;

/**
 * Continuous batch of the decode engine: each step adds one token to each running
 * sequence.
 *
 * @author banyanstile contributors
 */
final class DecodeBatch {

	static final long RETENTION_NANOS = TimeUnit.SECONDS.toNanos(5);

	private final KvMemory memory;

	private final ColdStart cold;

	private final Map<String, Sequence> sequences = new LinkedHashMap<>();

	private long imports;

	private long importsUnused;

	private long decodes;

	private long resumed;

	private long finished;

	private long cancelled;

	DecodeBatch(KvMemory memory, ColdStart cold) {
		this.memory = memory;
		this.cold = cold;
	}

	/**
	 * Reserves an endpoint slot and KV memory for an import.
	 * @param requestId the request
	 * @param holder the VM that serves it
	 * @param prompt the prompt
	 * @param now the time in nanoseconds
	 * @return the sequence
	 * @throws EngineRefusal if no slot or memory is free, or the request is already
	 * active
	 */
	synchronized Sequence beginImport(String requestId, String holder, String prompt, long now) throws EngineRefusal {
		Sequence known = this.sequences.get(requestId);
		if (known != null && known.isActive()) {
			throw new EngineRefusal(409, "known request");
		}
		this.cold.check(active(), now);
		int pieces = KvMemory.pieces(EngineText.tokens(prompt));
		this.memory.reserve(pieces);
		Sequence sequence = new Sequence(requestId, holder, prompt, pieces, now);
		this.sequences.put(requestId, sequence);
		return sequence;
	}

	synchronized boolean endImport(Sequence sequence, boolean complete, long now) {
		if (sequence.state != Sequence.State.IMPORTING) {
			return false;
		}
		sequence.changedAt = now;
		if (complete) {
			sequence.state = Sequence.State.IMPORTED;
			this.imports++;
			return true;
		}
		end(sequence, Sequence.State.CANCELLED, now);
		this.sequences.remove(sequence.requestId);
		return false;
	}

	/**
	 * Starts or resumes the decoding of a request.
	 * @param requestId the request
	 * @param holder the VM that serves it
	 * @param maxTokens largest number of tokens, used by the first call only
	 * @param now the time in nanoseconds
	 * @return the connection to the sequence
	 * @throws EngineRefusal if the request is unknown or there is no memory
	 */
	synchronized Attachment attach(String requestId, String holder, int maxTokens, long now) throws EngineRefusal {
		Sequence sequence = this.sequences.get(requestId);
		if (sequence == null || sequence.state == Sequence.State.IMPORTING
				|| sequence.state == Sequence.State.CANCELLED) {
			throw new EngineRefusal(404, "unknown request");
		}
		if (sequence.state == Sequence.State.IMPORTED) {
			int limit = Math.min(maxTokens, EngineText.length(sequence.prompt));
			int pieces = KvMemory.pieces(EngineText.tokens(sequence.prompt) + limit) - sequence.pieces;
			this.memory.reserve(pieces);
			sequence.pieces += pieces;
			sequence.limit = limit;
			sequence.state = Sequence.State.RUNNING;
			this.decodes++;
		}
		else {
			this.resumed++;
		}
		sequence.holder = holder;
		sequence.connection++;
		notifyAll();
		return new Attachment(sequence, sequence.connection);
	}

	/**
	 * Waits until a sequence has more tokens, has ended, or is interrupted.
	 * @param attachment the caller's connection to the sequence
	 * @param offset tokens that the caller has
	 * @return the progress
	 * @throws InterruptedException if interrupted
	 */
	synchronized Progress await(Attachment attachment, int offset) throws InterruptedException {
		Sequence sequence = attachment.sequence();
		int connection = attachment.connection();
		while (sequence.connection == connection && sequence.state == Sequence.State.RUNNING
				&& sequence.generated <= offset) {
			wait();
		}
		boolean interrupted = sequence.connection != connection || sequence.state == Sequence.State.CANCELLED;
		boolean end = sequence.state == Sequence.State.FINISHED;
		return new Progress(sequence.generated, interrupted, end ? sequence.finishReason() : null);
	}

	synchronized void step(long now) {
		for (Sequence sequence : this.sequences.values()) {
			if (sequence.state == Sequence.State.RUNNING) {
				if (sequence.generated < sequence.limit) {
					sequence.generated++;
				}
				if (sequence.generated >= sequence.limit) {
					end(sequence, Sequence.State.FINISHED, now);
					this.finished++;
				}
			}
		}
		expire(now);
		notifyAll();
	}

	private void expire(long now) {
		for (Iterator<Sequence> i = this.sequences.values().iterator(); i.hasNext();) {
			Sequence sequence = i.next();
			boolean old = now - sequence.changedAt >= RETENTION_NANOS;
			if (old && sequence.state == Sequence.State.IMPORTED) {
				this.importsUnused++;
				end(sequence, Sequence.State.CANCELLED, now);
				i.remove();
			}
			else if (old && !sequence.isActive()) {
				i.remove();
			}
		}
	}

	synchronized int cancel(String requestId, long now) {
		Sequence sequence = this.sequences.get(requestId);
		if (sequence == null || !sequence.isActive()) {
			return 0;
		}
		end(sequence, Sequence.State.CANCELLED, now);
		this.sequences.remove(requestId);
		this.cancelled++;
		notifyAll();
		return 1;
	}

	private void end(Sequence sequence, Sequence.State state, long now) {
		sequence.state = state;
		sequence.changedAt = now;
		this.memory.release(sequence.pieces);
		sequence.pieces = 0;
	}

	synchronized int active() {
		return (int) this.sequences.values().stream().filter(Sequence::isActive).count();
	}

	synchronized int running() {
		return (int) this.sequences.values().stream().filter((s) -> s.state == Sequence.State.RUNNING).count();
	}

	synchronized List<StreamReport> streams(long now) {
		List<StreamReport> streams = new ArrayList<>();
		for (Sequence sequence : this.sequences.values()) {
			if (sequence.isActive()) {
				streams.add(new StreamReport(sequence.requestId, sequence.holder,
						TimeUnit.NANOSECONDS.toMillis(now - sequence.createdAt)));
			}
		}
		return streams;
	}

	synchronized void report(Map<String, Object> stats) {
		stats.put("imports", this.imports);
		stats.put("importsUnused", this.importsUnused);
		stats.put("decodes", this.decodes);
		stats.put("resumed", this.resumed);
		stats.put("finished", this.finished);
		stats.put("cancelled", this.cancelled);
		stats.put("active", active());
	}

	/**
	 * A connection to a sequence.
	 *
	 * @param sequence the sequence
	 * @param connection number of the connection; a newer one ends it
	 * @author banyanstile contributors
	 */
	record Attachment(Sequence sequence, int connection) {
	}

	/**
	 * Progress of a sequence as one connection sees it.
	 *
	 * @param generated tokens generated so far
	 * @param interrupted whether the sequence was cancelled or a newer connection took it
	 * over
	 * @param finish reason of the end, or {@code null} if it has not finished
	 * @author banyanstile contributors
	 */
	record Progress(int generated, boolean interrupted, @Nullable String finish) {
	}

	/**
	 * A sequence in the list of streams.
	 *
	 * @param requestId the request
	 * @param holder the VM that serves it
	 * @param ageMillis time since its import began
	 * @author banyanstile contributors
	 */
	record StreamReport(String requestId, String holder, long ageMillis) {
	}

}
