package org.banyanstile.benchmark;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;

import org.banyanstile.config.Endpoint;
import org.banyanstile.config.EndpointRole;
import org.banyanstile.config.FleetConfiguration;
import org.banyanstile.config.Limits;
import org.banyanstile.config.Region;
import org.banyanstile.config.Team;
import org.banyanstile.config.TeamKey;
import org.banyanstile.config.json.ConfigurationException;
import org.banyanstile.config.json.ConfigurationJson;
import org.banyanstile.core.admission.SlotDecision;
import org.banyanstile.core.admission.SlotRequest;
import org.banyanstile.core.common.EndpointId;
import org.banyanstile.core.common.TeamId;
import org.banyanstile.core.common.VmId;
import org.banyanstile.core.limit.GrantReply;
import org.banyanstile.core.limit.GrantRequest;
import org.banyanstile.core.membership.Heartbeat;
import org.banyanstile.core.membership.PeerTable;
import org.banyanstile.core.membership.VmState;
import org.banyanstile.io.frame.Message;
import org.banyanstile.io.frame.MessageCodec;

/**
 * Costs of heartbeats against the number of VMs, and of configurations against their
 * size.
 *
 * @author banyanstile contributors
 */
final class FleetSlopes {

	private FleetSlopes() {
	}

	static void run(SlopeTable table) {
		for (int vms : new int[] { 9, 275, 1100 }) {
			heartbeats(table, vms);
		}
		frames(table);
		configuration(table, 5, 16);
		configuration(table, 1300, 310);
		configuration(table, 13_000, 3100);
	}

	private static Heartbeat heartbeat(int vm, long sequence) {
		return new Heartbeat(VmId.of("vm-" + vm), vm, 3, 1700, 900, VmState.LIVE, true, 100_000 + vm, sequence);
	}

	private static void heartbeats(SlopeTable table, int vms) {
		MessageCodec codec = MessageCodec.create().registerNested(VmId.class).register(Heartbeat.class);
		PeerTable peers = PeerTable.create(100_000);
		long sequence = peers.beginRound(0);
		table.cpu("VM, heartbeat encode, decode, record", "VMs", vms, Meter.nanosPerOperation(20_000, (i) -> {
			try {
				byte[] frame = codec.encode(new Message(Message.ONE_WAY, heartbeat(i % vms, sequence)));
				peers.receive((Heartbeat) codec.decode(frame).payload(), i);
			}
			catch (IOException ex) {
				throw new UncheckedIOException(ex);
			}
		}));
		table.cpu("VM, recent heartbeats of all peers", "VMs", vms,
				Meter.nanosPerOperation(200, (i) -> peers.recent(20_000 * 7)));
		try {
			table.bytes("heartbeat frame", "VMs", vms,
					4 + codec.encode(new Message(Message.ONE_WAY, heartbeat(vms - 1, sequence))).length);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Encodes the records of the decision classes as the frames between VMs do.
	 * @param table the output
	 */
	private static void frames(SlopeTable table) {
		MessageCodec codec = MessageCodec.create()
			.registerNested(VmId.class)
			.registerNested(TeamId.class)
			.registerNested(EndpointId.class)
			.register(GrantRequest.class)
			.register(GrantReply.class)
			.register(SlotRequest.class)
			.register(SlotDecision.Granted.class);
		TeamId team = TeamId.of("team-12345");
		EndpointId endpoint = EndpointId.of("draft-writer-1234");
		String requestId = "0123456789abcdef0123456789abcdef";
		frame(table, codec, "grant request frame",
				new GrantRequest(team, 1370, 2740, 500, 1L << 50, 7, List.of(1L << 50)));
		frame(table, codec, "grant reply frame", new GrantReply(1370, 2_000_000_000L, 0, 1L << 50, 7));
		frame(table, codec, "slot request frame",
				new SlotRequest(requestId, VmId.of("vm-1234"), team, 1, 1370, 300_000_000L, false, endpoint, Set.of()));
		frame(table, codec, "slot grant frame", new SlotDecision.Granted(requestId, endpoint, 15_000_000_000L));
	}

	private static void frame(SlopeTable table, MessageCodec codec, String what, Record payload) {
		try {
			table.bytes(what, "frames", 1, 4 + codec.encode(new Message(1, payload)).length);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static FleetConfiguration fleet(int teams, int endpoints) {
		FleetConfiguration.Builder builder = FleetConfiguration.builder("slope")
			.region(Region.of("region", "dc-0", "dc-1", "dc-2"))
			.limits(Limits.of(32_000, 4000, 1_048_576));
		for (int i = 0; i < endpoints; i++) {
			builder.endpoint(Endpoint.engine("engine-" + i, "draft-writer", EndpointRole.BOTH)
				.at("dc-" + i % 3, "127.0." + i / 250 + "." + (1 + i % 250) + ":9101")
				.slots(20)
				.kvPieces(400)
				.build());
		}
		for (int i = 0; i < teams; i++) {
			builder.team(Team.builder("team-" + i)
				.rate(450, 100_000)
				.key(TeamKey.active("k" + i, "0123456789abcdef0123456789abcdef",
						"0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"))
				.build());
		}
		return builder.build();
	}

	private static void configuration(SlopeTable table, int teams, int endpoints) {
		String json = ConfigurationJson.write(fleet(teams, endpoints));
		table.cpu("configuration, parse and validate (1 endpoint for 4 teams)", "teams", teams,
				Meter.nanosPerOperation((teams > 5000) ? 2 : 20, (i) -> parse(json)));
		table.bytes("configuration body", "teams", teams, json.getBytes(StandardCharsets.UTF_8).length);
		table.memory("configuration", "teams", teams, Meter.retainedBytes(() -> parse(json)));
	}

	private static FleetConfiguration parse(String json) {
		try {
			return ConfigurationJson.readConfiguration("slope.json", json);
		}
		catch (ConfigurationException ex) {
			throw new IllegalStateException("the generated configuration must be valid", ex);
		}
	}

}
