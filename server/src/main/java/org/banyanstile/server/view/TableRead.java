package org.banyanstile.server.view;

import java.util.List;

import org.banyanstile.core.replica.ReplicaRow;

/**
 * Rows of a table as the store returned them.
 *
 * @param rows the rows
 * @param version the store's version up to which the rows are complete
 * @param millis time of the read in milliseconds of the store's clock
 * @author banyanstile contributors
 */
public record TableRead(List<ReplicaRow> rows, long version, long millis) {

}
