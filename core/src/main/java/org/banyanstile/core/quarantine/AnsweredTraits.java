package org.banyanstile.core.quarantine;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The traits of requests that were answered last. Not safe for use by several threads.
 *
 * @author banyanstile contributors
 */
final class AnsweredTraits {

	/**
	 * Some hundred kilobytes of memory.
	 */
	static final int MAX_TRAITS = 4096;

	private final Map<Long, Boolean> traits = new LinkedHashMap<>(16, 0.75f, true) {

		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
			return size() > MAX_TRAITS;
		}

	};

	void add(long trait) {
		this.traits.put(trait, Boolean.TRUE);
	}

	void remove(long trait) {
		this.traits.remove(trait);
	}

	boolean contains(long trait) {
		return this.traits.containsKey(trait);
	}

}
