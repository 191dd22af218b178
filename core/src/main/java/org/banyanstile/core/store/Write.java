package org.banyanstile.core.store;

import org.jspecify.annotations.Nullable;

/**
 * Write of one row in a transaction.
 *
 * @param key the row key
 * @param value the new value as JSON text, or {@code null} to delete the row
 * @author banyanstile contributors
 */
public record Write(String key, @Nullable String value) {

}
