package org.banyanstile.core.membership;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

import org.banyanstile.core.common.VmId;

/**
 * VMs that count for majorities and for shares of limits: those named in rows of the
 * store, without those that have been missing for 60 s from the list of live VMs (the
 * platform's VM list, or the VMs from which messages arrive). Not safe for use by several
 * threads.
 *
 * @author banyanstile contributors
 */
public final class RegisteredVms {

	/**
	 * Time for which a VM must be missing before it no longer counts. The list lags, so a
	 * shorter time would drop VMs that have just started.
	 */
	public static final long MISSING_NANOS = 60_000_000_000L;

	private final Map<VmId, Long> missingSince = new HashMap<>();

	private Set<VmId> named = Set.of();

	private boolean known;

	private long lastListAt;

	/**
	 * Replaces the VMs named in slot rows.
	 * @param vms the VMs
	 */
	public void setNamed(Collection<VmId> vms) {
		this.named = Set.copyOf(vms);
		this.known = true;
		this.missingSince.keySet().retainAll(this.named);
	}

	/**
	 * Applies a successful read of the VM list. A failed read is no evidence and is not
	 * reported here.
	 * @param listed the listed VMs
	 * @param now the current time
	 */
	public void setListed(Collection<VmId> listed, long now) {
		for (VmId vm : this.named) {
			if (listed.contains(vm)) {
				this.missingSince.remove(vm);
			}
			else {
				this.missingSince.putIfAbsent(vm, now);
			}
		}
		this.lastListAt = now;
	}

	/**
	 * Returns the registered VMs.
	 * @return the VMs
	 */
	public Set<VmId> all() {
		Set<VmId> registered = new LinkedHashSet<>(this.named);
		registered.removeIf(this::isMissing);
		return registered;
	}

	/**
	 * Returns the VMs that are named in rows but no longer count.
	 * @return the VMs
	 */
	public Set<VmId> missing() {
		Set<VmId> missing = new LinkedHashSet<>(this.named);
		missing.removeIf((vm) -> !isMissing(vm));
		return missing;
	}

	/**
	 * Returns whether the slot rows were ever read from the store or received from a
	 * peer.
	 * @return whether the set is known
	 */
	public boolean isKnown() {
		return this.known;
	}

	private boolean isMissing(VmId vm) {
		Long since = this.missingSince.get(vm);
		return since != null && this.lastListAt - since >= MISSING_NANOS;
	}

}
