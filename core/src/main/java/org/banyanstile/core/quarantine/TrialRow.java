package org.banyanstile.core.quarantine;

/**
 * Row of the store that holds the last claim to a trial.
 *
 * @param key key of the row
 * @param claim the claim as text
 * @param version version of the row, 0 if it does not exist
 * @author banyanstile contributors
 */
public record TrialRow(String key, String claim, long version) {

}
