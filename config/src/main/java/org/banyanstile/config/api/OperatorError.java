package org.banyanstile.config.api;

/**
 * Error of the operator interface that is not the outcome of a change.
 *
 * @param type one of {@code unauthorized}, {@code invalid_request}, {@code not_found},
 * {@code unavailable}
 * @param message explanation for the operator
 * @author banyanstile contributors
 */
public record OperatorError(String type, String message) {

}
