package org.banyanstile.benchmark;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.banyanstile.core.admission.ObservedStream;
import org.banyanstile.core.common.EndpointId;
import org.banyanstile.core.common.VmId;
import org.banyanstile.core.routing.Candidate;

/**
 * Decode engine with a number of slots, fewer while it is cold.
 *
 * @author banyanstile contributors
 */
final class FakeEngine {

	private static final int COMPLETIONS_TO_DOUBLE = 4;

	final EndpointId endpoint;

	final Candidate candidate;

	final int dataCentre;

	private final Map<String, ObservedStream> streams = new LinkedHashMap<>();

	private int warmSlots = Deployment.SLOTS;

	private int completions;

	private boolean drained;

	FakeEngine(int index, int dataCentres) {
		this.endpoint = EndpointId.of("decode-" + index);
		this.candidate = new Candidate(this.endpoint, Deployment.SLOTS);
		this.dataCentre = index % dataCentres;
	}

	boolean tryStart(Job job) {
		if (this.streams.size() >= this.warmSlots) {
			return false;
		}
		this.streams.put(job.id, new ObservedStream(job.id, VmId.of("vm-" + job.vm)));
		return true;
	}

	void complete(Job job) {
		this.streams.remove(job.id);
		this.completions++;
		if (isCold() && this.completions % COMPLETIONS_TO_DOUBLE == 0) {
			this.warmSlots = Math.min(Deployment.SLOTS, this.warmSlots * 2);
		}
	}

	void coldStart() {
		this.warmSlots = 1;
		this.completions = 0;
	}

	boolean isCold() {
		return this.warmSlots < Deployment.SLOTS;
	}

	int active() {
		return this.streams.size();
	}

	List<ObservedStream> streams() {
		return List.copyOf(this.streams.values());
	}

	boolean isDrained() {
		return this.drained;
	}

	void drained(boolean changed) {
		this.drained = changed;
	}

}
