package org.banyanstile.core.store;

/**
 * A row of the table service.
 *
 * @param key the row key
 * @param version the version of the last write to this row, at least 1; versions increase
 * over the whole store
 * @param value the value, JSON text
 * @author banyanstile contributors
 */
public record Row(String key, long version, String value) {

}
