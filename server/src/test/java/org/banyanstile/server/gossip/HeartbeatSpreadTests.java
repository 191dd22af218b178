package org.banyanstile.server.gossip;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeSet;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/**
 * Plays the rounds of a large fleet with lost datagrams: each VM sends itself to the VMs
 * of its turn and the list of all VMs to one, three times out of four in its own data
 * centre. No live VM may count as dead anywhere.
 *
 * @author banyanstile contributors
 */
class HeartbeatSpreadTests {

	private static final long ROUND_NANOS = 250_000_000L;

	private static final int ROUNDS = 60;

	private static final int WARM_UP_ROUNDS = 12;

	private static final double LOSS = 0.02;

	@ParameterizedTest
	@ValueSource(ints = { 58, 95 })
	void liveVmsOfALargeFleetAreAliveEverywhere(int size) {
		Random random = new Random(20261204L + size);
		Map<String, Membership> vms = new HashMap<>();
		Map<String, PeerRotation> rotations = new HashMap<>();
		List<GossipMember> all = new ArrayList<>();
		for (int i = 0; i < size; i++) {
			String address = "10." + (i % 5) + ".0." + i + ":7600";
			all.add(new GossipMember("vm" + i, 1, 0, "dc" + i % 5, address, address, MemberState.SERVING.ordinal()));
		}
		for (GossipMember member : all) {
			vms.put(member.peerAddress(), Membership.of(member));
			rotations.put(member.peerAddress(), PeerRotation.of(member.peerAddress()));
			vms.get(member.peerAddress()).merge(all, 0);
		}
		int missing = 0;
		int listsToOtherDataCentres = 0;
		for (int round = 1; round <= ROUNDS; round++) {
			long now = round * ROUND_NANOS;
			for (Map.Entry<String, Membership> entry : vms.entrySet()) {
				Membership vm = entry.getValue();
				GossipMember self = vm.advanceHeartbeat(MemberState.SERVING);
				TreeSet<String> others = new TreeSet<>(vms.keySet());
				others.remove(entry.getKey());
				for (String target : rotations.get(entry.getKey()).next(others)) {
					if (random.nextDouble() >= LOSS) {
						vms.get(target).merge(List.of(self), now);
					}
				}
				String listTarget = vm.randomPeer(self.heartbeat() % 4 != 0, random);
				List<GossipMember> list = vm.alivePeers(now);
				listsToOtherDataCentres += listTarget.startsWith(entry.getKey().substring(0, 5)) ? 0 : 1;
				if (random.nextDouble() >= LOSS) {
					vms.get(listTarget).merge(list, now);
				}
			}
			if (round > WARM_UP_ROUNDS) {
				for (Membership vm : vms.values()) {
					missing += size - 1 - vm.alivePeers(now).size();
				}
			}
		}
		assertThat("live VMs that count as dead", missing, is(0));
		assertThat(listsToOtherDataCentres, is(lessThan(size * ROUNDS / 3)));
	}

}
