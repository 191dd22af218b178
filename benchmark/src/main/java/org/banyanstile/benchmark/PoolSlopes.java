package org.banyanstile.benchmark;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.banyanstile.core.admission.ObservedStream;
import org.banyanstile.core.admission.SlotBroker;
import org.banyanstile.core.admission.SlotOutcome;
import org.banyanstile.core.admission.SlotRequest;
import org.banyanstile.core.burn.BurnCounters;
import org.banyanstile.core.burn.BurnKey;
import org.banyanstile.core.common.DataCentreId;
import org.banyanstile.core.common.EndpointId;
import org.banyanstile.core.common.TeamId;
import org.banyanstile.core.common.VmId;
import org.banyanstile.core.routing.Candidate;
import org.banyanstile.core.stream.StreamDirectory;
import org.banyanstile.core.stream.StreamInfo;
import org.banyanstile.core.stream.StreamKey;

/**
 * Costs of pool and request owners and of the burn counters.
 *
 * @author banyanstile contributors
 */
final class PoolSlopes {

	private static final VmId VM = VmId.of("vm-1");

	private PoolSlopes() {
	}

	static void run(SlopeTable table) {
		for (int endpoints : new int[] { 6, 24, 96 }) {
			broker(table, endpoints);
		}
		for (int streams : new int[] { 1000, 9000, 144_000 }) {
			directory(table, streams);
		}
		for (int series : new int[] { 100, 1000, 4000 }) {
			burn(table, series);
		}
	}

	private static SlotBroker full(int endpoints) {
		SlotBroker broker = SlotBroker.takeOver();
		List<Candidate> candidates = new ArrayList<>();
		for (int i = 0; i < endpoints; i++) {
			candidates.add(new Candidate(EndpointId.of("e" + i), 20));
		}
		broker.configure(candidates, 0);
		candidates.forEach((candidate) -> broker.observed(candidate.endpoint(), List.of(), 0, 0));
		for (int i = 0; i < endpoints * 18; i++) {
			broker.request(request(i), 0);
		}
		return broker;
	}

	private static SlotRequest request(int i) {
		return new SlotRequest("request-" + i, VM, TeamId.of("team-" + i % 100), 1, 1370, 300 * Deployment.MILLI, false,
				null, Set.of());
	}

	private static void broker(SlopeTable table, int endpoints) {
		SlotBroker broker = full(endpoints);
		int held = endpoints * 18;
		table.cpu("pool owner, slot request and release", "endpoints", endpoints,
				Meter.nanosPerOperation(20_000, (i) -> {
					broker.release("request-" + i, SlotOutcome.COMPLETED, i * 1000L);
					broker.request(request(held + i), i * 1000L);
				}));
		List<ObservedStream> streams = new ArrayList<>();
		for (int i = 0; i < 18; i++) {
			streams.add(new ObservedStream("listed-" + i, VM));
		}
		SlotBroker listed = full(endpoints);
		table.cpu("pool owner, stream list of one endpoint", "endpoints", endpoints, Meter.nanosPerOperation(5000,
				(i) -> listed.observed(EndpointId.of("e" + i % endpoints), streams, i, i)));
		table.memory("pool owner", "endpoints", endpoints, Meter.retainedBytes(() -> full(endpoints)));
	}

	private static void directory(SlopeTable table, int streams) {
		StreamDirectory directory = filled(streams);
		long now = StreamDirectory.ANNOUNCE_NANOS + 1;
		table.cpu("request owner, announce", "streams", streams,
				Meter.nanosPerOperation(100_000, (i) -> directory.announce(key(i % streams), info(i % streams), now)));
		table.memory("request owner", "streams", streams, Meter.retainedBytes(() -> filled(streams)));
	}

	private static StreamDirectory filled(int streams) {
		StreamDirectory directory = StreamDirectory.takeOver(0);
		for (int i = 0; i < streams; i++) {
			directory.announce(key(i), info(i), StreamDirectory.ANNOUNCE_NANOS + 1);
		}
		return directory;
	}

	private static StreamKey key(int i) {
		return new StreamKey(TeamId.of("team-" + i % 100), "0123456789abcdef0123456789abcdef-" + i);
	}

	private static StreamInfo info(int i) {
		return new StreamInfo("request-" + i, VM, null);
	}

	private static void burn(SlopeTable table, int series) {
		BurnCounters counters = BurnCounters.create(series);
		BurnKey[] keys = new BurnKey[series];
		for (int i = 0; i < series; i++) {
			keys[i] = new BurnKey(TeamId.of("team-" + i), "draft-writer", DataCentreId.of("lima-a"));
		}
		table.cpu("VM, burn counter", "series", series,
				Meter.nanosPerOperation(100_000, (i) -> counters.good(keys[i % series], i * 1000L)));
		table.memory("burn counters", "series", series, Meter.retainedBytes(() -> {
			BurnCounters kept = BurnCounters.create(series);
			for (BurnKey key : keys) {
				kept.good(key, 0);
			}
			return kept;
		}));
	}

}
