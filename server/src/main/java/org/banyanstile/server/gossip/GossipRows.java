package org.banyanstile.server.gossip;

import java.util.List;

/**
 * Rows that the receiver lacks.
 *
 * @param table ordinal of the table
 * @param whole whether these are all rows of the table
 * @param after version after which all changes are included
 * @param version the store's version up to which the rows are complete
 * @param millis the store's time of that version
 * @param rows the rows
 * @author banyanstile contributors
 */
public record GossipRows(int table, boolean whole, long after, long version, long millis, List<GossipRow> rows) {

}
