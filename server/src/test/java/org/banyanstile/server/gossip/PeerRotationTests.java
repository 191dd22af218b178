package org.banyanstile.server.gossip;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.banyanstile.core.limit.SharedQuota;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests for {@link PeerRotation}.
 *
 * @author banyanstile contributors
 */
class PeerRotationTests {

	private static final int ROUNDS_IN_TWO_SECONDS = 8;

	private final PeerRotation rotation = PeerRotation.of("10.0.1.0:7600");

	private static List<String> addresses(int count) {
		List<String> addresses = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			addresses.add("10.0.0." + i + ":7600");
		}
		return addresses;
	}

	@Test
	void noVmIsSelectedInAFleetOfOne() {
		assertThat(this.rotation.next(List.of()), empty());
	}

	@Test
	void allVmsOfASmallFleetAreSelectedInEachRound() {
		List<String> all = addresses(PeerRotation.MAX_PER_ROUND);
		for (int i = 0; i < 3; i++) {
			assertThat(this.rotation.next(all), containsInAnyOrder(all.toArray()));
		}
	}

	/**
	 * The shared quota of a team counts a VM as silent when a report is later than its
	 * turn by a tenth.
	 */
	@Test
	void everyVmIsReachedBeforeItCountsTheSenderAsSilent() {
		for (int count = 1; count <= 70; count++) {
			Map<String, Integer> lastRounds = new HashMap<>();
			List<String> all = addresses(count);
			all.forEach((address) -> lastRounds.put(address, 0));
			long silentRounds = SharedQuota.silentNanos(count) / 250_000_000;
			for (int round = 1; round < 50; round++) {
				for (String address : this.rotation.next(all)) {
					lastRounds.put(address, round);
				}
				int now = round;
				lastRounds.values()
					.forEach((last) -> assertThat((long) now - last, is(lessThanOrEqualTo(silentRounds))));
			}
		}
	}

	@Test
	void roundOfALargeFleetIsBoundedAndReachesAllInTurn() {
		List<String> all = addresses(1100);
		Set<String> reached = new HashSet<>();
		for (int round = 0; round * PeerRotation.MAX_PER_ROUND < all.size(); round++) {
			List<String> selected = this.rotation.next(all);
			assertThat(selected, hasSize(PeerRotation.MAX_PER_ROUND));
			reached.addAll(selected);
		}
		assertThat(reached, hasSize(1100));
	}

	@Test
	void vmThatAppearsIsReachedInTurn() {
		List<String> all = addresses(20);
		this.rotation.next(all);
		all.add("10.0.0.00:7600");
		Set<String> reached = new HashSet<>();
		for (int i = 0; i < 3; i++) {
			reached.addAll(this.rotation.next(all));
		}
		assertThat(reached, hasSize(21));
	}

	/**
	 * Guards against VMs that started together and all send to the same few others.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 60, 300, 1100 })
	void newsReachesAFleetThatStartedTogetherWithinTwoSeconds(int size) {
		List<String> all = addresses(size);
		Map<String, PeerRotation> rotations = new HashMap<>();
		all.forEach((address) -> rotations.put(address, PeerRotation.of(address)));
		Set<String> informed = new HashSet<>(all.subList(size / 2, size / 2 + 1));
		for (int round = 0; round < ROUNDS_IN_TWO_SECONDS; round++) {
			Set<String> senders = Set.copyOf(informed);
			for (String address : all) {
				List<String> others = all.stream().filter((other) -> !other.equals(address)).toList();
				List<String> targets = rotations.get(address).next(others);
				if (senders.contains(address)) {
					informed.addAll(targets);
				}
			}
		}
		assertThat(informed, hasSize(size));
	}

}
