package org.banyanstile.server.vm;

import java.util.List;

/**
 * Reply to {@link SlotRowsFetch}.
 *
 * @param rows the rows
 * @author banyanstile contributors
 */
public record SlotRows(List<SlotRow> rows) {

	/**
	 * Copies the list.
	 * @param rows the rows
	 */
	public SlotRows {
		rows = List.copyOf(rows);
	}

}
