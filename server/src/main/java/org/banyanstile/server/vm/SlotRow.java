package org.banyanstile.server.vm;

/**
 * A slot row as the sender has observed it.
 *
 * @param key the row key
 * @param version version of the row
 * @param value value of the row as JSON text
 * @author banyanstile contributors
 */
public record SlotRow(String key, long version, String value) {

}
