package org.banyanstile.server.gossip;

/**
 * A row of a table of the store.
 *
 * @param key key of the row
 * @param version version of the row
 * @param value compressed content, empty for a removed row
 * @author banyanstile contributors
 */
public record GossipRow(String key, long version, byte[] value) {

}
