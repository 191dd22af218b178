package org.banyanstile.server.scheduling;

import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import org.banyanstile.core.catalog.EndpointRole;
import org.banyanstile.core.catalog.RegisteredEndpoint;
import org.banyanstile.core.common.Ticker;
import org.banyanstile.core.scheduling.LeastCostScheduler;
import org.banyanstile.server.gossip.GossipMember;
import org.banyanstile.server.gossip.MemberState;
import org.banyanstile.server.gossip.Membership;
import org.banyanstile.server.router.DecisionLog;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link SchedulerNode} over loopback, where each VM has an address of its own.
 *
 * @author banyanstile contributors
 */
class SchedulerNodeTests implements EngineSource {

	private static final long ALIVE_NANOS = 3_600_000_000_000L;

	private static final List<String> HOSTS = List.of("127.0.0.2", "127.0.0.3");

	private final List<SchedulerNode> nodes = new ArrayList<>();

	private final List<SimpleMeterRegistry> registries = new ArrayList<>();

	private int port;

	@BeforeEach
	void start() throws Exception {
		try (DatagramSocket free = new DatagramSocket(0)) {
			this.port = free.getLocalPort();
		}
		List<GossipMember> members = HOSTS.stream()
			.map((host) -> new GossipMember(host, 1, 1, "z1", host + ":1", host + ":2", MemberState.SERVING.ordinal()))
			.toList();
		for (GossipMember member : members) {
			Membership membership = Membership.of(member);
			membership.merge(members, System.nanoTime() + ALIVE_NANOS);
			SimpleMeterRegistry registry = new SimpleMeterRegistry();
			this.registries.add(registry);
			this.nodes.add(SchedulerNode.start(new InetSocketAddress(member.vm(), this.port), membership, this,
					(now) -> LeastCostScheduler.create(now - 1_000_000_000L), Ticker.system(), registry,
					DecisionLog.create()));
		}
	}

	@AfterEach
	void stop() {
		this.nodes.forEach(SchedulerNode::close);
	}

	@Override
	public List<RegisteredEndpoint> engines(String service) {
		return List.of(new RegisteredEndpoint("d1", "llm", "d1:1", "z1", EndpointRole.DECODE, true, 64, 0, 0, ""),
				new RegisteredEndpoint("p1", "llm", "p1:1", "z1", EndpointRole.PREFILL, true, 64, 0, 0, ""));
	}

	@Override
	public long memoryTokens(String service) {
		return service.equals("llm") ? 10_000 : 0;
	}

	private static PlacementDemand demand(long tokens) {
		return new PlacementDemand("llm", 1, 3000, tokens, 60_000, 60_000, 0, Set.of());
	}

	private double malformed(int vm) {
		return this.registries.get(vm).counter("banyanstile_scheduler_malformed_datagrams_total").count();
	}

	@Tag("known-red")
	@Test
	void vmsShareTheMemoryOfAnEngineThroughOneScheduler() throws Exception {
		SchedulerTicket first = this.nodes.get(0).client().open(demand(8000));
		assertThat(first.await(() -> false), is(new PlacementAnswer.Placed("d1", "p1")));
		SchedulerTicket second = this.nodes.get(1).client().open(demand(8000));
		long end = System.nanoTime() + 300_000_000L;
		assertThat(second.await(() -> System.nanoTime() > end), is(instanceOf(PlacementAnswer.Cancelled.class)));
		first.prefilled("p1", 100);
		first.close(1000);
		assertThat(second.await(() -> false), is(new PlacementAnswer.Placed("d1", "p1")));
	}

	@Test
	void malformedAndForeignDatagramsAreCountedAndIgnored() throws Exception {
		try (DatagramSocket socket = new DatagramSocket()) {
			for (byte[] content : List.of(new byte[0], new byte[] { 1, 2, 3 }, new byte[2000])) {
				socket
					.send(new DatagramPacket(content, content.length, InetAddress.getByName(HOSTS.get(0)), this.port));
			}
		}
		long end = System.nanoTime() + 10_000_000_000L;
		while (malformed(0) < 3 && System.nanoTime() < end) {
			Thread.onSpinWait();
		}
		assertThat(malformed(0), is(3.0));
		for (SchedulerNode node : this.nodes) {
			SchedulerTicket ticket = node.client().open(demand(100));
			assertThat(ticket.await(() -> false), is(new PlacementAnswer.Placed("d1", "p1")));
		}
	}

}
