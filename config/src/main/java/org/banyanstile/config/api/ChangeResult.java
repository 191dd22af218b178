package org.banyanstile.config.api;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonInclude;
import org.banyanstile.config.diff.Change;
import org.banyanstile.config.json.Problem;

/**
 * Reply to a request to replace the configuration.
 *
 * @param result the outcome
 * @param version the new version, or the current version after a conflict
 * @param changes after a conflict: what the rejected configuration would change in the
 * current one
 * @param problems what is invalid
 * @param message explanation for the operator, may be empty
 * @author banyanstile contributors
 */
@JsonInclude(JsonInclude.Include.NON_EMPTY)
public record ChangeResult(ChangeOutcome result, long version, List<Change> changes, List<Problem> problems,
		String message) {

	/**
	 * Copies the lists.
	 * @param result the outcome
	 * @param version the new or current version
	 * @param changes what the rejected configuration would change
	 * @param problems what is invalid
	 * @param message explanation for the operator
	 */
	public ChangeResult {
		changes = (changes != null) ? List.copyOf(changes) : List.of();
		problems = (problems != null) ? List.copyOf(problems) : List.of();
		message = (message != null) ? message : "";
	}

	/**
	 * Returns a result without lists.
	 * @param result the outcome
	 * @param version the new or current version
	 * @param message explanation for the operator
	 * @return the result
	 */
	public static ChangeResult of(ChangeOutcome result, long version, String message) {
		return new ChangeResult(result, version, List.of(), List.of(), message);
	}

	/**
	 * Returns the result of a conflict with another change.
	 * @param version the current version
	 * @param changes what the rejected configuration would change in it
	 * @return the result
	 */
	public static ChangeResult conflict(long version, List<Change> changes) {
		return new ChangeResult(ChangeOutcome.CONFLICT, version, changes, List.of(), "the current version is " + version
				+ "; the changes show what the rejected configuration would change in it");
	}

	/**
	 * Returns the result of a failed validation.
	 * @param version the current version
	 * @param problems what is invalid
	 * @return the result
	 */
	public static ChangeResult invalid(long version, List<Problem> problems) {
		return new ChangeResult(ChangeOutcome.INVALID, version, List.of(), problems, "");
	}

}
