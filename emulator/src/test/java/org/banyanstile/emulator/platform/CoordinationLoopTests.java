package org.banyanstile.emulator.platform;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.BooleanSupplier;

import com.beust.jcommander.JCommander;
import org.banyanstile.core.common.DataCentreId;
import org.banyanstile.core.common.Ticker;
import org.banyanstile.core.common.VmId;
import org.banyanstile.core.lease.SlotRecord;
import org.banyanstile.core.lease.VmCoordinator;
import org.banyanstile.core.membership.VmState;
import org.banyanstile.emulator.http.JsonServer;
import org.banyanstile.io.http.HttpClient;
import org.banyanstile.io.http.HttpRequest;
import org.banyanstile.server.platform.Coordination;
import org.banyanstile.server.platform.CoordinationLoop;
import org.banyanstile.server.platform.HttpTableStore;
import org.banyanstile.server.platform.JsonRowCodec;
import org.banyanstile.server.platform.VmListClient;
import org.banyanstile.server.vm.MessageHandlers;
import org.banyanstile.server.vm.VmIdentity;
import org.banyanstile.server.vm.VmMessages;
import org.banyanstile.server.vm.VmPeers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

/**
 * Tests of several VMs, each with its connections and coordination loop, in one process
 * against the platform stand-in.
 *
 * @author banyanstile contributors
 */
class CoordinationLoopTests {

	private static final String KEY = "00112233445566778899aabbccddeeff";

	private static final List<String> PARTITIONS = List.of("team/0", "team/1", "team/2", "team/3", "request/0",
			"request/1", "pool/dc/draft");

	private final List<Vm> vms = new ArrayList<>();

	private HttpClient http;

	private JsonServer platform;

	private String address;

	private String seed;

	@BeforeEach
	void start() throws Exception {
		this.address = freeAddress();
		this.seed = freeAddress();
		PlatformCommand options = new PlatformCommand();
		JCommander.newBuilder().addObject(options).build().parse("--listen", this.address);
		this.platform = PlatformServer.start(options);
		this.http = HttpClient.create(2);
	}

	@AfterEach
	void stop() {
		this.vms.forEach(Vm::close);
		this.http.close();
		this.platform.close();
	}

	private static String freeAddress() throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			return "127.0.0.1:" + socket.getLocalPort();
		}
	}

	private Vm vm(String name, String vmAddress) throws Exception {
		this.http
			.send(HttpRequest.postJson(this.address, "/vms/v1/list",
					"{\"name\":\"" + name + "\",\"address\":\"" + vmAddress + "\"}"))
			.close();
		SlotRecord template = new SlotRecord(0, VmId.of(name), 0, DataCentreId.of("dc"), "127.0.0.1:1", vmAddress,
				VmState.LIVE, "");
		JsonRowCodec codec = new JsonRowCodec();
		Coordination coordination = Coordination.create(VmCoordinator.create(template, 16, codec, new Random()),
				Ticker.system());
		coordination.setPartitions(PARTITIONS);
		MessageHandlers handlers = new MessageHandlers();
		VmPeers peers = VmPeers.create(new VmIdentity(VmId.of(name), vmAddress, KEY), VmMessages.codec(), handlers);
		CoordinationLoop loop = CoordinationLoop.create(coordination,
				HttpTableStore.create(this.http, "http://" + this.address),
				VmListClient.create(this.http, "http://" + this.address), peers, codec, List.of(this.seed));
		peers.start();
		loop.start(handlers);
		Vm vm = new Vm(name, coordination, peers, loop);
		this.vms.add(vm);
		return vm;
	}

	private void faults(String json) throws Exception {
		this.http.send(HttpRequest.postJson(this.address, "/faults/v1", json)).close();
	}

	private static void await(String what, long seconds, BooleanSupplier condition) throws InterruptedException {
		long deadline = System.nanoTime() + Duration.ofSeconds(seconds).toNanos();
		while (!condition.getAsBoolean()) {
			assertThat(what, System.nanoTime() - deadline < 0, is(true));
			Thread.sleep(20);
		}
	}

	private Map<String, Long> owned() {
		Map<String, Long> all = new HashMap<>();
		for (Vm vm : this.vms) {
			vm.coordination().owned().forEach((name, token) -> {
				Long other = all.put(name, token);
				assertThat("two owners of " + name, other == null || !other.equals(token), is(true));
			});
		}
		return all;
	}

	private boolean settled(int n) {
		Set<Integer> slots = new HashSet<>();
		this.vms.forEach((vm) -> vm.coordination().slot().ifPresent((slot) -> slots.add(slot.slot())));
		return slots.size() == n && owned().size() == PARTITIONS.size()
				&& this.vms.stream().allMatch((vm) -> vm.coordination().members().size() == n);
	}

	@Test
	void fleetSurvivesLostRepliesAndAnOutageAndHandsOverOnRelease() throws Exception {
		vm("vm-a", this.seed);
		vm("vm-b", freeAddress());
		vm("vm-c", freeAddress());
		await("three VMs hold slots and all partitions", 40, () -> settled(3));
		faults("{\"tables\":\"lose-replies\",\"lossFraction\":0.4,\"seed\":7}");
		long calls = this.vms.get(0).loop().storeFailures().sum();
		await("replies were lost", 20, () -> this.vms.get(0).loop().storeFailures().sum() > calls + 4);
		faults("{\"tables\":\"up\"}");
		await("settled after lost replies", 40, () -> settled(3));

		Map<String, Long> before = owned();
		faults("{\"tables\":\"down\"}");
		await("the outage is longer than a lease", 30, () -> {
			assertThat(this.vms.stream().allMatch((vm) -> vm.coordination().isServing()), is(true));
			return this.vms.stream().allMatch((vm) -> vm.coordination().storeAgeMillis() > 17_000);
		});
		assertThat(owned(), equalTo(before));
		Vm late = vm("vm-d", freeAddress());
		await("a VM that starts during the outage serves without slot", 10, () -> late.coordination().isServing());
		assertThat(late.coordination().slot().isEmpty(), is(true));
		faults("{\"tables\":\"up\"}");
		await("the late VM gets a slot", 20, () -> late.coordination().slot().isPresent());
		await("settled with four VMs", 20, () -> settled(4));

		assertThat(this.vms.get(1).loop().release(Duration.ofSeconds(10)), is(true));
		this.vms.remove(1).close();
		await("partitions of the VM that left are owned", 20, () -> settled(3));
	}

	/**
	 * A VM.
	 *
	 * @param name its name
	 * @param coordination its state
	 * @param peers its connections
	 * @param loop its loop
	 * @author banyanstile contributors
	 */
	private record Vm(String name, Coordination coordination, VmPeers peers, CoordinationLoop loop) {

		void close() {
			this.loop.close();
			this.peers.close();
		}

	}

}
