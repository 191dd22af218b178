package org.banyanstile.server.vm;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.function.BooleanSupplier;

import org.banyanstile.core.common.TeamId;
import org.banyanstile.core.common.VmId;
import org.banyanstile.core.limit.GrantReply;
import org.banyanstile.core.limit.GrantRequest;
import org.banyanstile.core.membership.Heartbeat;
import org.banyanstile.core.membership.VmState;
import org.banyanstile.io.frame.FrameConnection;
import org.banyanstile.io.frame.Message;
import org.banyanstile.io.frame.MessageCodec;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Tests for {@link VmPeers} over loopback.
 *
 * @author banyanstile contributors
 */
class VmPeersTests {

	private static final String KEY = "00112233445566778899aabbccddeeff";

	private static final Duration TIMEOUT = Duration.ofSeconds(10);

	private final List<VmPeers> started = new ArrayList<>();

	private final ConcurrentLinkedQueue<Heartbeat> received = new ConcurrentLinkedQueue<>();

	private final CountDownLatch released = new CountDownLatch(1);

	@AfterEach
	void close() {
		this.released.countDown();
		this.started.forEach(VmPeers::close);
	}

	private static String freeAddress() throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			return "127.0.0.1:" + socket.getLocalPort();
		}
	}

	private VmPeers start(String vm, String address, String key) throws IOException {
		MessageHandlers handlers = new MessageHandlers();
		handlers.registerInline(Heartbeat.class, (from, heartbeat) -> {
			this.received.add(heartbeat);
			return null;
		});
		handlers.register(GrantRequest.class, (from, request) -> new GrantReply(request.needed() / 2, 2000, 0, 0, 1));
		handlers.register(StreamTakeover.class, (from, request) -> {
			awaitRelease();
			return null;
		});
		handlers.register(ClaimQuery.class, (from, query) -> {
			if (query.keyHash().equals("late")) {
				awaitRelease();
			}
			return new ClaimReply(query.keyHash(), 0, null, null);
		});
		VmPeers peers = VmPeers.create(new VmIdentity(VmId.of(vm), address, key), VmMessages.codec(), handlers);
		peers.setHeartbeats(
				() -> (to) -> new Heartbeat(VmId.of(vm), 3, 12, 1700, 800, VmState.LIVE, true, 1L << 39, 1L << 38));
		peers.start();
		this.started.add(peers);
		return peers;
	}

	private void awaitRelease() {
		try {
			this.released.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static void await(BooleanSupplier condition) throws InterruptedException {
		long deadline = System.nanoTime() + TIMEOUT.toNanos();
		while (!condition.getAsBoolean()) {
			assertThat("condition not met in time", System.nanoTime() - deadline < 0, is(true));
			Thread.sleep(10);
		}
	}

	private static GrantReply grant(VmPeers peers, String vm) throws VmRequestException {
		return peers.request(VmId.of(vm), GrantRequest.of(TeamId.of("team"), 100, 100), GrantReply.class, TIMEOUT);
	}

	@Test
	void heartbeatsAndRequestsReachAVmThatKnowsOnlyTheConnector() throws Exception {
		String address = freeAddress();
		VmPeers a = start("vm-a", address, KEY);
		VmPeers b = start("vm-b", freeAddress(), KEY);
		b.setAddresses(List.of(address));
		await(() -> a.connected().contains(VmId.of("vm-b")) && b.connected().contains(VmId.of("vm-a")));
		assertThat(grant(b, "vm-a"), equalTo(new GrantReply(50, 2000, 0, 0, 1)));
		assertThat(grant(a, "vm-b"), equalTo(new GrantReply(50, 2000, 0, 0, 1)));
		await(() -> this.received.stream().map(Heartbeat::vm).distinct().count() == 2);
		assertThrows(VmUnreachableException.class, () -> grant(a, "vm-c"));
		assertThrows(VmReplyTimeoutException.class, () -> a.request(VmId.of("vm-b"), new StreamTakeover("team", "r"),
				Acknowledged.class, Duration.ofMillis(50)));
		assertThrows(VmRequestFailedException.class,
				() -> a.request(VmId.of("vm-b"), new ConfigFetch(1), ConfigPush.class, TIMEOUT));
	}

	@Test
	void lateReplyIsNotTheReplyToTheNextRequest() throws Exception {
		String address = freeAddress();
		start("vm-a", address, KEY);
		VmPeers b = start("vm-b", freeAddress(), KEY);
		b.setAddresses(List.of(address));
		await(() -> b.connected().contains(VmId.of("vm-a")));
		assertThrows(VmReplyTimeoutException.class, () -> query(b, "late", Duration.ofMillis(50)));
		this.released.countDown();
		for (int i = 0; i < 50; i++) {
			assertThat(query(b, "k" + i, TIMEOUT).state(), equalTo("k" + i));
		}
	}

	private static ClaimReply query(VmPeers peers, String key, Duration timeout) throws VmRequestException {
		return peers.request(VmId.of("vm-a"), new ClaimQuery("team", key), ClaimReply.class, timeout);
	}

	@Test
	void anotherFleetKeyIsRefusedByBothSides() throws Exception {
		String address = freeAddress();
		VmPeers a = start("vm-a", address, KEY);
		VmPeers b = start("vm-b", freeAddress(), KEY.replace('0', '1'));
		b.setAddresses(List.of(address));
		await(() -> a.counters().failedHandshakes().sum() > 0 && b.counters().failedHandshakes().sum() > 0);
		assertThat(a.connected().isEmpty() && b.connected().isEmpty(), is(true));
	}

	@Test
	void reconnectsToARestartedVm() throws Exception {
		String address = freeAddress();
		VmPeers a = start("vm-a", address, KEY);
		VmPeers b = start("vm-b", freeAddress(), KEY);
		b.setAddresses(List.of(address));
		await(() -> b.connected().contains(VmId.of("vm-a")));
		a.close();
		await(() -> b.connected().isEmpty());
		start("vm-a", address, KEY);
		await(() -> b.connected().contains(VmId.of("vm-a")));
		assertThat(grant(b, "vm-a"), equalTo(new GrantReply(50, 2000, 0, 0, 1)));
	}

	@Test
	void addressIsFreeAsSoonAsTheVmHasClosed() throws Exception {
		String address = freeAddress();
		for (int round = 0; round < 300; round++) {
			VmPeers peers = start("vm-a", address, KEY);
			try (Socket socket = new Socket()) {
				socket.connect(Addresses.parse(address));
			}
			peers.close();
		}
	}

	@Test
	void malformedFramesCloseOnlyTheirConnection() throws Exception {
		String address = freeAddress();
		VmPeers a = start("vm-a", address, KEY);
		VmPeers b = start("vm-b", freeAddress(), KEY);
		b.setAddresses(List.of(address));
		await(() -> b.connected().contains(VmId.of("vm-a")));
		byte[][] garbage = { { 0x7f, 0, 0, 0 }, { 0, 0, 0, 2, 1, 2 }, { 0, 0, 0, 0 } };
		for (byte[] bytes : garbage) {
			try (Socket socket = new Socket()) {
				socket.connect(Addresses.parse(address));
				socket.getOutputStream().write(bytes);
				assertThat("closed by the server", socket.getInputStream().read(), is(-1));
			}
		}
		await(() -> a.counters().malformedFrames().sum() == garbage.length);
		assertThat(grant(b, "vm-a"), equalTo(new GrantReply(50, 2000, 0, 0, 1)));
		assertThat(b.counters().brokenConnections().sum(), is(0L));
	}

	@Test
	void unauthenticatedPeerGetsNoProofOfTheFleetKey() throws Exception {
		String address = freeAddress();
		VmPeers a = start("vm-a", address, KEY);
		MessageCodec codec = VmMessages.codec();
		try (Socket socket = new Socket()) {
			socket.connect(Addresses.parse(address));
			FrameConnection connection = FrameConnection.over(socket);
			connection.send(codec.encode(new Message(0, new Hello("vm-x", "127.0.0.1:1", "00"))));
			connection.receive();
			connection.send(codec.encode(new Message(0, new HelloProof("00"))));
			connection.setReadTimeout(5000);
			assertThat("no proof for an unauthenticated peer", connection.receive() == null, is(true));
		}
		await(() -> a.counters().failedHandshakes().sum() == 1);
	}

	@Test
	void heartbeatFrameStaysWithinEightyBytes() throws IOException {
		Heartbeat heartbeat = new Heartbeat(VmId.of("caerdydd-entry-07"), 3, 12, 1700, 800, VmState.LIVE, true,
				1L << 39, 1L << 38);
		byte[] frame = VmMessages.codec().encode(new Message(0, heartbeat));
		System.out.println("heartbeat frame " + (Integer.BYTES + frame.length) + " bytes");
		assertThat(Integer.BYTES + frame.length, lessThanOrEqualTo(80));
	}

}
