package org.banyanstile.core.replica;

import org.jspecify.annotations.Nullable;

/**
 * A row as the store holds it.
 *
 * @param key key of the row
 * @param version version of the row, assigned by the store
 * @param value content, {@code null} for a removed row
 * @author banyanstile contributors
 */
public record ReplicaRow(String key, long version, byte @Nullable [] value) {

}
