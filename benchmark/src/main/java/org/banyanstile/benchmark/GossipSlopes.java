package org.banyanstile.benchmark;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.stream.IntStream;

import org.banyanstile.core.limit.SharedQuota;
import org.banyanstile.io.frame.Message;
import org.banyanstile.io.frame.MessageCodec;
import org.banyanstile.server.gossip.GossipEngines;
import org.banyanstile.server.gossip.GossipLoad;
import org.banyanstile.server.gossip.GossipMember;
import org.banyanstile.server.gossip.GossipRoleChange;
import org.banyanstile.server.gossip.GossipSpeed;
import org.banyanstile.server.gossip.GossipState;
import org.banyanstile.server.gossip.GossipUse;
import org.banyanstile.server.gossip.GossipVersion;
import org.banyanstile.server.gossip.GossipVersions;
import org.banyanstile.server.gossip.GossipWork;
import org.banyanstile.server.gossip.Membership;

/**
 * Costs of the datagrams that VMs exchange on a platform whose endpoints register
 * themselves, against the number of VMs. A VM has requests at ten engines and has served
 * 16 teams.
 *
 * @author banyanstile contributors
 */
final class GossipSlopes {

	private static final int ENGINES = 10;

	private static final int TEAMS = 16;

	private GossipSlopes() {
	}

	static void run(SlopeTable table) {
		for (int vms : new int[] { 9, 58, 275 }) {
			datagrams(table, vms);
			quota(table, vms);
		}
	}

	private static GossipMember member(int vm, long heartbeat) {
		return new GossipMember("edge-region-" + vm, 1_796_000_000_000L + vm, heartbeat, "region-a",
				"10.1.0." + vm + ":8221", "10.1.0." + vm + ":7600", 1);
	}

	private static GossipState state(List<GossipMember> members, long heartbeat) {
		List<GossipLoad> loads = IntStream.range(0, ENGINES)
			.mapToObj((i) -> new GossipLoad("i-00a1b2c3d" + i, 4, 17_000))
			.toList();
		List<GossipUse> uses = IntStream.range(0, TEAMS)
			.mapToObj((i) -> new GossipUse("team" + i, 1_000_000L + i))
			.toList();
		return new GossipState(member(0, heartbeat), members, loads, uses, List.of(), List.of(), List.of(),
				List.of(1000L, 2000L), List.of(50_000_000L, 50_000_000L), false, GossipEngines.none(), 1L,
				new GossipVersions(60_000, List.of()), List.of());
	}

	private static void datagrams(SlopeTable table, int vms) {
		MessageCodec codec = MessageCodec.create()
			.registerNested(GossipMember.class)
			.registerNested(GossipLoad.class)
			.registerNested(GossipUse.class)
			.registerNested(GossipRoleChange.class)
			.registerNested(GossipWork.class)
			.registerNested(GossipSpeed.class)
			.registerNested(GossipEngines.class)
			.registerNested(GossipVersion.class)
			.registerNested(GossipVersions.class)
			.register(GossipState.class);
		List<GossipMember> members = IntStream.range(1, vms).mapToObj((vm) -> member(vm, 1)).toList();
		Membership membership = Membership.of(member(vms, 0));
		datagram(table, codec, membership, "state of a VM", vms, List.of());
		datagram(table, codec, membership, "state of a VM with the list of members", vms, members);
	}

	private static void datagram(SlopeTable table, MessageCodec codec, Membership membership, String what, int vms,
			List<GossipMember> members) {
		try {
			byte[] datagram = codec.encode(new Message(Message.ONE_WAY, state(members, 1)));
			table.bytes(what, "VMs", vms, datagram.length);
			table.cpu(what + ", encode", "VMs", vms,
					Meter.nanosPerOperation(2000, (i) -> encode(codec, state(members, i))));
			table.cpu(what + ", decode and merge", "VMs", vms, Meter.nanosPerOperation(2000, (i) -> {
				GossipState received = decode(codec, datagram);
				membership.merge(received.members(), i);
				membership.merge(List.of(received.self()), i);
			}));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static byte[] encode(MessageCodec codec, GossipState state) {
		try {
			return codec.encode(new Message(Message.ONE_WAY, state));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static GossipState decode(MessageCodec codec, byte[] datagram) {
		try {
			return (GossipState) codec.decode(datagram).payload();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static void quota(SlopeTable table, int vms) {
		SharedQuota quota = SharedQuota.empty(50_000, 50_000, 0);
		for (int vm = 1; vm < vms; vm++) {
			quota.report("edge-region-" + vm, 1, 0, 1);
		}
		table.cpu("token limit of a team, take", "VMs", vms,
				Meter.nanosPerOperation(2000, (i) -> quota.take(1, 1_000L * i)));
	}

}
