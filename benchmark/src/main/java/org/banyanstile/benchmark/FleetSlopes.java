package org.banyanstile.benchmark;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

import org.banyanstile.config.Endpoint;
import org.banyanstile.config.EndpointRole;
import org.banyanstile.config.FleetConfiguration;
import org.banyanstile.config.Limits;
import org.banyanstile.config.Region;
import org.banyanstile.config.Team;
import org.banyanstile.config.TeamKey;
import org.banyanstile.config.json.ConfigurationException;
import org.banyanstile.config.json.ConfigurationJson;
import org.banyanstile.core.common.VmId;
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
