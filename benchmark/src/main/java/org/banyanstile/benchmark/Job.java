package org.banyanstile.benchmark;

import java.util.HashSet;
import java.util.Set;

import org.banyanstile.core.common.EndpointId;

/**
 * Request in the simulation.
 *
 * @author banyanstile contributors
 */
final class Job {

	final String id;

	final int team;

	final int vm;

	final int prompt;

	final int output;

	final long arrivedAt;

	final Set<EndpointId> excluded = new HashSet<>();

	int attempts;

	long prefilledAt;

	Job(String id, int team, int vm, int prompt, int output, long arrivedAt) {
		this.id = id;
		this.team = team;
		this.vm = vm;
		this.prompt = prompt;
		this.output = output;
		this.arrivedAt = arrivedAt;
	}

	long tokens() {
		return (long) this.prompt + this.output;
	}

}
