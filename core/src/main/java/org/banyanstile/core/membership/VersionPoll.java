package org.banyanstile.core.membership;

import java.util.HashSet;
import java.util.Set;

/**
 * Asks the other VMs whether they know a newer version of a table than this VM, for a
 * decision that a VM that is behind must not take. VMs that do not answer may have failed
 * or may be cut off; a majority of all VMs is enough once the time for answers is over,
 * since the others are then the ones that are cut off. Not safe for use by several
 * threads.
 *
 * @author banyanstile contributors
 */
public final class VersionPoll {

	private final Set<String> others;

	private final long version;

	private final Set<String> agreed = new HashSet<>();

	private boolean behind;

	private VersionPoll(Set<String> others, long version) {
		this.others = Set.copyOf(others);
		this.version = version;
	}

	/**
	 * Creates a poll.
	 * @param others names of all other VMs, also of those that do not respond
	 * @param version the version that this VM knows, -1 if it knows none
	 * @return the poll
	 */
	public static VersionPoll create(Set<String> others, long version) {
		return new VersionPoll(others, version);
	}

	/**
	 * Records an answer. The answer of a VM that was not asked has no effect.
	 * @param vm name of the VM
	 * @param known the version that it knows
	 */
	public void answered(String vm, long known) {
		if (!this.others.contains(vm)) {
			return;
		}
		if (known > this.version) {
			this.behind = true;
		}
		else {
			this.agreed.add(vm);
		}
	}

	/**
	 * Returns whether no answer can change the outcome.
	 * @return whether all VMs have answered, or one knows a newer version
	 */
	public boolean isDecided() {
		return this.behind || this.version < 0 || this.agreed.size() == this.others.size();
	}

	/**
	 * Returns whether this VM is known not to be behind.
	 * @return whether a majority of all VMs has answered and none knows a newer version
	 */
	public boolean isCurrent() {
		return !this.behind && this.version >= 0 && 2 * (this.agreed.size() + 1) > this.others.size() + 1;
	}

}
