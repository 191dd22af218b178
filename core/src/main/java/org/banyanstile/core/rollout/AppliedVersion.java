package org.banyanstile.core.rollout;

/**
 * A version that is in force at this VM.
 *
 * @param version the version, at least 1
 * @param content the content
 * @param <C> type of the content
 * @author banyanstile contributors
 */
public record AppliedVersion<C>(long version, C content) {

}
