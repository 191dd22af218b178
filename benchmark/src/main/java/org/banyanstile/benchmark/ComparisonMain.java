package org.banyanstile.benchmark;

import java.io.PrintStream;

/**
 * Compares each decision with its naive versions, in virtual time with a fixed seed, and
 * prints the results.
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
		pools(out);
		goals(out);
		limits(out);
	}

	private static void limits(PrintStream out) {
		out.printf("%n5 teams of %.0f tokens/s and burst %.0f, 9 VMs, 16 slots%n%n",
				LimitComparison.LIMIT.tokensPerSecond(), LimitComparison.LIMIT.burstTokens());
		out.println("| owner | policy | one-VM team refused | others refused | refused while the owner is gone "
				+ "| flood tokens/s | over-grant | messages/s | bytes/s |");
		out.println("|---|---|---|---|---|---|---|---|---|");
		for (boolean ownerFails : new boolean[] { false, true }) {
			limits(out, ownerFails);
		}
	}

	private static void limits(PrintStream out, boolean ownerFails) {
		for (LimitPolicy policy : LimitPolicy.values()) {
			LimitResult result = new LimitComparison(policy, 9, ownerFails, SEED).run();
			out.printf("| %s | %s | %.2f%% | %.2f%% | %.1f%% | %.0f | %.0f | %.1f | %.0f |%n",
					ownerFails ? "fails" : "stays", policy, 100 * result.oneVmRefused(), 100 * result.evenRefused(),
					100 * result.outageRefused(), result.floodTokensPerSecond(), result.overGrant(), result.messages(),
					result.bytes());
		}
	}

	private static void goals(PrintStream out) {
		out.println();
		for (Deployment deployment : Deployment.all()) {
			for (Scenario scenario : Scenario.values()) {
				PoolResult naive = new PoolComparison(deployment, scenario, SlotPolicy.LAGGING_LOAD, SEED).run();
				PoolResult design = new PoolComparison(deployment, scenario, SlotPolicy.BROKER, SEED).run();
				String where = deployment.name() + " " + scenario + ": ";
				double ratio = design.goodPerSecond() / naive.goodPerSecond();
				double target = (scenario == Scenario.PEAK) ? 1.3 : 1;
				goal(out, where + "goodput over naive", ratio, ratio >= target);
				goal(out, where + "prefills wasted for lack of a slot", design.wastedForLackOfSlot(),
						design.wastedForLackOfSlot() == 0);
				goal(out, where + "wasted prefill", design.wastedPrefill(), design.wastedPrefill() < 0.01);
				if (scenario == Scenario.ONE_TEAM_FIVEFOLD) {
					goal(out, where + "worst team's share", design.worstTeamShare(), design.worstTeamShare() >= 0.95);
				}
			}
		}
	}

	private static void goal(PrintStream out, String what, double value, boolean met) {
		out.printf("%s %s %.3f%n", met ? "met   " : "MISSED", what, value);
	}

	private static void pools(PrintStream out) {
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
