package org.banyanstile.core.canary;

import java.util.Arrays;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

import org.jspecify.annotations.Nullable;

/**
 * Stage of a rollout, which all VMs follow.
 *
 * @param order id of the request
 * @param step number of the stage, higher for a later one
 * @param phase the phase
 * @param share share of the requests that the new version gets before the full phase
 * @param startMillis time of the store at which the request was first seen
 * @param untilMillis time of the store after which the share falls back to none unless
 * another stage follows
 * @param oldVersions versions that the new one replaces
 * @author banyanstile contributors
 */
public record RolloutStage(long order, int step, RolloutPhase phase, double share, long startMillis, long untilMillis,
		Set<String> oldVersions) {

	private static final int FIELDS = 6;

	/**
	 * Returns whether this stage replaces another one that a VM knows.
	 * @param other the other stage, may be absent
	 * @return whether it does
	 */
	public boolean supersedes(@Nullable RolloutStage other) {
		if (other == null || this.order != other.order) {
			return other == null || this.order > other.order;
		}
		return (this.phase != other.phase) ? this.phase.compareTo(other.phase) > 0 : this.step > other.step;
	}

	/**
	 * Returns the stage that follows this one.
	 * @param next its phase
	 * @param nextShare its share
	 * @param nextUntilMillis time after which its share falls back to none
	 * @return the stage
	 */
	public RolloutStage next(RolloutPhase next, double nextShare, long nextUntilMillis) {
		return new RolloutStage(this.order, this.step + 1, next, nextShare, this.startMillis, nextUntilMillis,
				this.oldVersions);
	}

	/**
	 * Returns the stage as one line of text. Versions are the last field, each after a
	 * tab.
	 * @return the text
	 */
	public String toText() {
		String versions = this.oldVersions.stream()
			.sorted()
			.map((version) -> '\t' + version)
			.collect(Collectors.joining());
		return this.order + "\t" + this.step + "\t" + this.phase.name().toLowerCase(Locale.ROOT) + "\t" + this.share
				+ "\t" + this.startMillis + "\t" + this.untilMillis + versions;
	}

	/**
	 * Parses the text of a stage.
	 * @param text the text
	 * @return the stage
	 * @throws IllegalArgumentException if it is not the text of a stage
	 */
	public static RolloutStage parse(String text) {
		String[] fields = text.split("\t", -1);
		if (fields.length < FIELDS) {
			throw new IllegalArgumentException("a stage of a rollout has at least " + FIELDS + " fields: " + text);
		}
		Set<String> versions = new TreeSet<>(Arrays.asList(fields).subList(FIELDS, fields.length));
		return new RolloutStage(Long.parseLong(fields[0]), Integer.parseInt(fields[1]),
				RolloutPhase.valueOf(fields[2].toUpperCase(Locale.ROOT)), Double.parseDouble(fields[3]),
				Long.parseLong(fields[4]), Long.parseLong(fields[5]), versions);
	}

}
