package org.banyanstile.benchmark;

import java.io.PrintStream;

/**
 * Prints each decision against its naive versions, in virtual time with a fixed seed.
 *
 * @author banyanstile contributors
 */
public final class ComparisonMain {

	/**
	 * Seed of all runs.
	 */
	static final long SEED = 20261204;

	private ComparisonMain() {
	}

	/**
	 * Runs all comparisons.
	 * @param args none
	 */
	public static void main(String[] args) {
		PrintStream out = System.out;
		out.printf("seed %d, %d s of virtual time a run%n%n", SEED, PoolComparison.DURATION / 1_000_000_000L);
		out.println("| deployment | scenario | policy | good/s | wasted prefill | of it no slot | worst team | refused "
				+ "| failed | cold overloads | messages/s |");
		out.println("|---|---|---|---|---|---|---|---|---|---|---|");
		for (Deployment deployment : Deployment.all()) {
			for (Scenario scenario : Scenario.values()) {
				for (SlotPolicy policy : SlotPolicy.values()) {
					PoolResult result = new PoolComparison(deployment, scenario, policy, SEED).run();
					out.printf("| %s | %s | %s | %.2f | %.2f%% | %d | %.3f | %d | %d | %d | %.0f |%n",
							deployment.name(), scenario, policy, result.goodPerSecond(), 100 * result.wastedPrefill(),
							result.wastedForLackOfSlot(), result.worstTeamShare(), result.refused(), result.failed(),
							result.coldOverloads(), result.messages() * 1e9 / PoolComparison.DURATION);
				}
			}
		}
	}

}
