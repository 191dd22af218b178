package org.banyanstile.benchmark.coordination;

import java.io.IOException;
import java.util.Collection;
import java.util.List;
import java.util.Random;

import org.banyanstile.core.common.DataCentreId;
import org.banyanstile.core.common.Ticker;
import org.banyanstile.core.common.VmId;
import org.banyanstile.core.lease.SlotRecord;
import org.banyanstile.core.lease.VmCoordinator;
import org.banyanstile.core.membership.VmState;
import org.banyanstile.io.http.HttpClient;
import org.banyanstile.server.platform.Coordination;
import org.banyanstile.server.platform.CoordinationLoop;
import org.banyanstile.server.platform.JsonRowCodec;
import org.banyanstile.server.platform.VmListClient;
import org.banyanstile.server.vm.MessageHandlers;
import org.banyanstile.server.vm.VmIdentity;
import org.banyanstile.server.vm.VmMessages;
import org.banyanstile.server.vm.VmPeers;

/**
 * Connections and coordination loop of one VM.
 *
 * @param coordination the coordination state
 * @param peers the connections to other VMs
 * @param loop the coordination loop
 * @author banyanstile contributors
 */
record MeasuredVm(Coordination coordination, VmPeers peers, CoordinationLoop loop) implements AutoCloseable {

	private static final String KEY = "00112233445566778899aabbccddeeff";

	private static final int SLOTS = 64;

	static MeasuredVm start(String name, String address, MemoryTable table, HttpClient http, String unusedListUrl,
			Collection<String> partitions) throws IOException {
		SlotRecord template = new SlotRecord(0, VmId.of(name), 0, DataCentreId.of("dc"), "127.0.0.1:1", address,
				VmState.LIVE, "");
		JsonRowCodec codec = new JsonRowCodec();
		Coordination coordination = Coordination
			.create(VmCoordinator.create(template, SLOTS, codec, new Random(name.hashCode())), Ticker.system());
		coordination.setPartitions(partitions);
		MessageHandlers handlers = new MessageHandlers();
		VmPeers peers = VmPeers.create(new VmIdentity(VmId.of(name), address, KEY), VmMessages.codec(), handlers);
		CoordinationLoop loop = CoordinationLoop.create(coordination, table, VmListClient.create(http, unusedListUrl),
				peers, codec, List.of());
		peers.start();
		loop.start(handlers);
		return new MeasuredVm(coordination, peers, loop);
	}

	@Override
	public void close() {
		this.loop.close();
		this.peers.close();
	}

}
