package org.banyanstile.core.quarantine;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Rows of claims in memory, which can be made to fail.
 *
 * @author banyanstile contributors
 */
final class MemoryTrialRows implements TrialRows {

	private final Map<String, TrialRow> rows = new TreeMap<>();

	private long version;

	private int writes;

	private boolean down;

	private boolean losesResponses;

	void setDown(boolean down) {
		this.down = down;
	}

	void setLosesResponses(boolean losesResponses) {
		this.losesResponses = losesResponses;
	}

	int writes() {
		return this.writes;
	}

	int size() {
		return this.rows.size();
	}

	@Override
	public TrialWrite write(List<TrialRow> written) throws IOException {
		this.writes++;
		if (this.down) {
			throw new IOException("the store is down");
		}
		List<TrialRow> current = new ArrayList<>();
		boolean applies = true;
		for (TrialRow row : written) {
			TrialRow known = this.rows.get(row.key());
			applies &= row.version() == ((known != null) ? known.version() : 0);
			if (known != null) {
				current.add(known);
			}
		}
		if (applies) {
			this.version++;
			written.forEach((row) -> this.rows.put(row.key(), new TrialRow(row.key(), row.claim(), this.version)));
		}
		if (this.losesResponses) {
			throw new IOException("the store's response was lost");
		}
		return applies ? TrialWrite.ofApplied(0) : TrialWrite.ofRejected(current);
	}

}
