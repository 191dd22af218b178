package org.banyanstile.core.lease;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.notNullValue;

/**
 * Random failures of a fleet in virtual time. Guards against two VMs that act as holder
 * of the same slot or partition at the same time, and against a fleet that does not
 * recover.
 *
 * @author banyanstile contributors
 */
class FleetRandomTests {

	private static final int VMS = 4;

	private final Set<Set<Fault>> pairs = new HashSet<>();

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6 })
	void atMostOneHolderAndRecoveryAfterEachPairOfFaults(long seed) {
		System.out.println("seed " + seed);
		VirtualFleet fleet = new VirtualFleet(seed);
		for (int i = 0; i < VMS; i++) {
			fleet.start("vm-" + i);
		}
		fleet.run(30);
		for (Fault first : Fault.values()) {
			for (Fault second : Fault.values()) {
				inject(fleet, first);
				fleet.run(fleet.random.nextInt(25));
				inject(fleet, second);
				fleet.run(fleet.random.nextInt(25));
				this.pairs.add(EnumSet.of(first, second));
				repair(fleet);
				fleet.run(fleet.random.nextInt(12));
			}
		}
		fleet.run(60);
		assertThat(fleet.serving(), is((long) VMS));
		VirtualFleet.PARTITIONS.forEach((partition) -> assertThat(fleet.ownerOf(partition), notNullValue()));
		int n = Fault.values().length;
		assertThat(this.pairs.size(), equalTo(n * (n + 1) / 2));
	}

	private static void inject(VirtualFleet fleet, Fault fault) {
		List<VirtualFleet.Node> nodes = new ArrayList<>(fleet.nodes.values());
		VirtualFleet.Node node = nodes.get(fleet.random.nextInt(nodes.size()));
		switch (fault) {
			case KILL -> {
				fleet.kill(node.name);
				if (fleet.random.nextBoolean()) {
					fleet.start(node.name);
				}
			}
			case FREEZE -> {
				node.frozen = true;
			}
			case ISOLATE -> {
				node.isolatedFromStore = fleet.random.nextInt(4) > 0;
				node.isolatedFromPeers = fleet.random.nextInt(4) > 0;
			}
			case OUTAGE -> {
				fleet.storeDown = true;
			}
			case LOST_REPLIES -> {
				fleet.lostReplies = 0.3;
			}
			default -> {
				fleet.storeDelay = VirtualFleet.SECOND * fleet.random.nextInt(1500) / 1000;
			}
		}
	}

	private static void repair(VirtualFleet fleet) {
		fleet.storeDown = false;
		fleet.lostReplies = 0;
		fleet.storeDelay = VirtualFleet.SECOND / 500;
		for (int i = 0; i < VMS; i++) {
			if (!fleet.nodes.containsKey("vm-" + i)) {
				fleet.start("vm-" + i);
			}
		}
		for (VirtualFleet.Node node : List.copyOf(fleet.nodes.values())) {
			node.isolatedFromStore = false;
			node.isolatedFromPeers = false;
			if (node.frozen) {
				node.resume();
			}
		}
	}

	/**
	 * Kinds of failure.
	 */
	private enum Fault {

		KILL, FREEZE, ISOLATE, OUTAGE, LOST_REPLIES, SLOW_STORE

	}

}
