package org.banyanstile.config.diff;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Kind of a change.
 *
 * @author banyanstile contributors
 */
public enum ChangeType {

	/**
	 * Present only in the later version.
	 */
	@JsonProperty("added")
	ADDED,

	/**
	 * Present only in the earlier version.
	 */
	@JsonProperty("removed")
	REMOVED,

	/**
	 * Present in both versions with different values.
	 */
	@JsonProperty("changed")
	CHANGED

}
