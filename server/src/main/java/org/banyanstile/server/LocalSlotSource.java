package org.banyanstile.server;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.IntSupplier;

import org.banyanstile.server.caller.ConfigurationView;
import org.banyanstile.server.caller.EndpointTarget;
import org.banyanstile.server.caller.SlotDecision;
import org.banyanstile.server.caller.SlotDemand;
import org.banyanstile.server.caller.SlotOutcome;
import org.banyanstile.server.caller.SlotSource;

/**
 * Grants endpoint slots from this VM's share of the capacity of each endpoint, least
 * loaded endpoint first. Used where a pool has no reachable owner.
 *
 * @author banyanstile contributors
 */
public final class LocalSlotSource implements SlotSource {

	private static final long RETRY_MILLIS = 250;

	private final ConfigurationView configuration;

	private final Map<String, Integer> used = new HashMap<>();

	private final IntSupplier vms;

	private LocalSlotSource(ConfigurationView configuration, IntSupplier vms) {
		this.configuration = configuration;
		this.vms = vms;
	}

	/**
	 * Creates a source.
	 * @param configuration the configuration
	 * @param vms supplies the number of VMs that share the capacity
	 * @return the source
	 */
	public static LocalSlotSource create(ConfigurationView configuration, IntSupplier vms) {
		return new LocalSlotSource(configuration, vms);
	}

	@Override
	public synchronized SlotDecision acquire(SlotDemand demand) {
		long deadline = System.nanoTime() + demand.deadlineMillis() * 1_000_000;
		Optional<EndpointTarget> target = free(demand);
		while (target.isEmpty()) {
			long remainingMillis = (deadline - System.nanoTime()) / 1_000_000;
			if (remainingMillis <= 0 || !await(remainingMillis)) {
				return new SlotDecision.Overloaded(RETRY_MILLIS);
			}
			target = free(demand);
		}
		this.used.merge(key(target.get()), 1, Integer::sum);
		return new SlotDecision.Granted(demand.pool(), demand.requestId(), target.get());
	}

	private boolean await(long millis) {
		try {
			wait(millis);
			return true;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
	}

	private Optional<EndpointTarget> free(SlotDemand demand) {
		return this.configuration.current()
			.endpoints()
			.stream()
			.filter((target) -> target.active() && target.pool().equals(demand.pool())
					&& !demand.excluded().contains(target.id()) && used(target) < share(target))
			.min(Comparator.comparingInt(this::used));
	}

	private int share(EndpointTarget target) {
		return Math.max(1, target.slots() / Math.max(1, this.vms.getAsInt()));
	}

	private int used(EndpointTarget target) {
		return this.used.getOrDefault(key(target), 0);
	}

	private static String key(EndpointTarget target) {
		return target.pool().role() + "/" + target.id();
	}

	@Override
	public void renew(SlotDecision.Granted slot) {
		// A local slot is held until it is released.
	}

	@Override
	public synchronized void release(SlotDecision.Granted slot, SlotOutcome outcome) {
		this.used.merge(key(slot.endpoint()), -1, Integer::sum);
		notifyAll();
	}

}
