package org.banyanstile.server.view;

/**
 * Row that says which VM may give orders.
 *
 * @param version version of the row, 0 if it does not exist
 * @param owner VM that wrote it last
 * @author banyanstile contributors
 */
public record OrderRow(long version, String owner) {

}
