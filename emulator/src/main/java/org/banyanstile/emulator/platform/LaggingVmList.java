package org.banyanstile.emulator.platform;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * List of VMs that shows each change only after a fixed delay.
 *
 * @author banyanstile contributors
 */
final class LaggingVmList {

	private final long lagNanos;

	private final Map<String, Deque<Change>> changes = new TreeMap<>();

	LaggingVmList(long lagNanos) {
		this.lagNanos = lagNanos;
	}

	synchronized void put(Vm vm, long now) {
		this.changes.computeIfAbsent(vm.name(), (name) -> new ArrayDeque<>()).addLast(new Change(vm, now));
	}

	synchronized List<Vm> visible(long now) {
		List<Vm> visible = new ArrayList<>();
		for (Deque<Change> history : this.changes.values()) {
			Change shown = null;
			while (!history.isEmpty() && now - history.getFirst().at() >= this.lagNanos) {
				shown = history.removeFirst();
			}
			if (shown != null) {
				history.addFirst(shown);
			}
			if (shown != null && !shown.vm().state().equals("gone")) {
				visible.add(shown.vm());
			}
		}
		return visible;
	}

	/**
	 * Entry of the list.
	 *
	 * @param name name of the VM
	 * @param address address for messages between VMs
	 * @param state {@code live}, {@code leaving}, or {@code gone} to remove the entry
	 * @author banyanstile contributors
	 */
	record Vm(String name, String address, String state) {
	}

	/**
	 * A change and its time.
	 *
	 * @param vm the new entry
	 * @param at time in nanoseconds
	 * @author banyanstile contributors
	 */
	private record Change(Vm vm, long at) {
	}

}
