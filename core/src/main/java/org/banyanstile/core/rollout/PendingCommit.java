package org.banyanstile.core.rollout;

/**
 * A write of a version whose outcome is not known.
 *
 * @param operationId identifier of the write, stored in the rows
 * @param version the new version
 * @param headRow store version of the row {@code config/head} that is replaced, 0 if
 * there was none
 * @param body the new configuration
 * @author banyanstile contributors
 */
public record PendingCommit(String operationId, long version, long headRow, String body) {

}
