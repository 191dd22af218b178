package org.banyanstile.core.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.banyanstile.core.common.EndpointId;

/**
 * Chooses the less loaded of two random endpoints, with a limit of requests for each VM.
 * Used while a pool has no owner. Safe for use by several threads if the random generator
 * is.
 *
 * @author banyanstile contributors
 */
public final class TwoChoices {

	private final LaggingLoad load;

	private final RandomGenerator random;

	private TwoChoices(LaggingLoad load, RandomGenerator random) {
		this.load = load;
		this.random = random;
	}

	/**
	 * Creates the choice.
	 * @param load the estimated load of the endpoints
	 * @param random the source of random numbers
	 * @return the choice
	 */
	public static TwoChoices create(LaggingLoad load, RandomGenerator random) {
		return new TwoChoices(load, random);
	}

	/**
	 * Chooses an endpoint.
	 * @param candidates the endpoints that may be used
	 * @param vmIndex the index of this VM among the live VMs, from 0
	 * @param vms the number of live VMs
	 * @return the endpoint, empty if this VM has reached its cap at all of them
	 */
	public Optional<EndpointId> choose(List<Candidate> candidates, int vmIndex, int vms) {
		List<Candidate> open = new ArrayList<>();
		for (Candidate candidate : candidates) {
			if (this.load.own(candidate.endpoint()) < cap(candidate, vmIndex, vms)) {
				open.add(candidate);
			}
		}
		if (open.isEmpty()) {
			return Optional.empty();
		}
		Candidate first = open.remove(this.random.nextInt(open.size()));
		if (open.isEmpty()) {
			return Optional.of(first.endpoint());
		}
		Candidate second = open.get(this.random.nextInt(open.size()));
		return Optional.of(((fill(second) < fill(first)) ? second : first).endpoint());
	}

	/**
	 * Returns how many requests a VM may run at an endpoint without asking the owner of
	 * the pool: the capacity divided by the number of VMs. The remainder goes to a part
	 * of the VMs that depends on the endpoint. The caps of all VMs add up to the
	 * capacity.
	 * @param candidate the endpoint
	 * @param vmIndex the index of the VM among the live VMs, from 0
	 * @param vms the number of live VMs
	 * @return the cap
	 */
	public static int cap(Candidate candidate, int vmIndex, int vms) {
		int rotated = Math.floorMod(vmIndex + candidate.endpoint().name().hashCode(), vms);
		return candidate.capacity() / vms + ((rotated < candidate.capacity() % vms) ? 1 : 0);
	}

	private double fill(Candidate candidate) {
		return (double) this.load.estimate(candidate.endpoint()) / candidate.capacity();
	}

}
