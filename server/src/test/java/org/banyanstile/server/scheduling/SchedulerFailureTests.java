package org.banyanstile.server.scheduling;

import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiPredicate;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import org.banyanstile.core.catalog.EndpointRole;
import org.banyanstile.core.catalog.RegisteredEndpoint;
import org.banyanstile.core.scheduling.LeastCostScheduler;
import org.banyanstile.server.gossip.GossipMember;
import org.banyanstile.server.gossip.MemberState;
import org.banyanstile.server.gossip.Membership;
import org.banyanstile.server.router.DecisionLog;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;

/**
 * Tests of lost messages and failed VMs with clients and hosts that call each other
 * without a network.
 *
 * @author banyanstile contributors
 */
class SchedulerFailureTests {

	private static final long MEMORY = 10_000;

	private static final long LARGE = 8000;

	private static final long ALIVE_NANOS = 3_600_000_000_000L;

	private final Map<String, Vm> vms = new LinkedHashMap<>();

	private final List<Record> lost = new CopyOnWriteArrayList<>();

	private final AtomicLong skewNanos = new AtomicLong();

	private List<RegisteredEndpoint> engines = List.of(engine("d1"));

	/**
	 * Whether a message to a VM gets lost.
	 */
	private volatile BiPredicate<String, Record> loses = (vm, message) -> false;

	@BeforeEach
	void startVms() {
		List<GossipMember> members = new ArrayList<>();
		for (String name : List.of("vm1", "vm2", "vm3")) {
			members.add(new GossipMember(name, 1, 1, "z1", name + ":1", name + ":2", MemberState.SERVING.ordinal()));
		}
		members.forEach((member) -> this.vms.put(member.vm(), new Vm(member)));
		this.vms.values().forEach((vm) -> vm.membership.merge(members, now() + ALIVE_NANOS));
	}

	private static RegisteredEndpoint engine(String id) {
		return new RegisteredEndpoint(id, "llm", id + ":1", "z1", EndpointRole.DECODE, true, 64, 0, 0, "");
	}

	private long now() {
		return System.nanoTime() + this.skewNanos.get();
	}

	private Vm scheduler() {
		GossipMember preferred = this.vms.get("vm1").membership
			.preferred(EngineGroup.of(this.engines.get(0), this.engines.size()).key(), Set.of(), now());
		return this.vms.get(preferred.vm());
	}

	private Vm other(Vm... excluded) {
		return this.vms.values().stream().filter((vm) -> !List.of(excluded).contains(vm)).findFirst().orElseThrow();
	}

	private static PlacementDemand demand(long tokens) {
		return new PlacementDemand("llm", 1, tokens - 50, tokens, 60_000, 60_000, 0, Set.of());
	}

	private PlacementAnswer await(SchedulerTicket ticket) throws Exception {
		return await(wait(ticket));
	}

	private static CompletableFuture<PlacementAnswer> wait(SchedulerTicket ticket) {
		return CompletableFuture.supplyAsync(() -> {
			try {
				return ticket.await(() -> false);
			}
			catch (InterruptedException ex) {
				throw new IllegalStateException(ex);
			}
		});
	}

	private PlacementAnswer await(CompletableFuture<PlacementAnswer> answer) throws Exception {
		long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
		while (System.nanoTime() < end) {
			this.vms.values().forEach(Vm::tick);
			try {
				return answer.get(20, TimeUnit.MILLISECONDS);
			}
			catch (TimeoutException ex) {
				// The hosts decide again.
			}
		}
		throw new AssertionError("no answer within 10 s");
	}

	private static String engineOf(PlacementAnswer answer) {
		assertThat(answer, is(instanceOf(PlacementAnswer.Placed.class)));
		return ((PlacementAnswer.Placed) answer).engine();
	}

	private void loseOnce(Class<?> type) {
		AtomicBoolean done = new AtomicBoolean();
		this.loses = (vm, message) -> type.isInstance(message) && done.compareAndSet(false, true);
	}

	@Test
	void lostRequestIsRepeated() throws Exception {
		loseOnce(PlaceRequest.class);
		assertThat(engineOf(await(other(scheduler()).client.open(demand(100)))), is("d1"));
		assertThat(this.lost, hasSize(1));
	}

	@Test
	void lostAnswerIsRepeatedWithTheSameEngine() throws Exception {
		this.engines = List.of(engine("d1"), engine("d2"), engine("d3"));
		loseOnce(PlacedReply.class);
		String engine = engineOf(await(other(scheduler()).client.open(demand(100))));
		assertThat(engine, is(((PlacedReply) this.lost.get(0)).engine()));
	}

	@Test
	void waitingRequestIsServedByTheNextSchedulerWhenTheFirstIsKilled() throws Exception {
		Vm scheduler = scheduler();
		Vm vm = other(scheduler);
		SchedulerTicket running = vm.client.open(demand(LARGE));
		await(running);
		CompletableFuture<PlacementAnswer> waiting = wait(vm.client.open(demand(LARGE)));
		long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
		while (scheduler.host.waiting() == 0 && System.nanoTime() < end) {
			Thread.onSpinWait();
		}
		assertThat(scheduler.host.waiting(), is(1));
		long killedAt = System.nanoTime();
		scheduler.dead = true;
		running.close(1);
		assertThat(engineOf(await(waiting)), is("d1"));
		assertThat((System.nanoTime() - killedAt) / 1_000_000, is(lessThan(1000L)));
	}

	@Test
	void nextSchedulerKnowsWhatRunsAndDoesNotPlaceOnFullEngines() throws Exception {
		Vm scheduler = scheduler();
		Vm vm = other(scheduler);
		SchedulerTicket running = vm.client.open(demand(LARGE));
		await(running);
		scheduler.dead = true;
		SchedulerTicket next = vm.client.open(new PlacementDemand("llm", 1, 100, LARGE, 2000, 1500, 0, Set.of()));
		assertThat(await(next), is(not(instanceOf(PlacementAnswer.Placed.class))));
	}

	@Test
	void frozenSchedulerIsReplacedAndAvoidedByLaterRequests() throws Exception {
		Vm scheduler = scheduler();
		Vm vm = other(scheduler);
		scheduler.dead = true;
		assertThat(engineOf(await(vm.client.open(demand(100)))), is("d1"));
		int before = this.lost.size();
		assertThat(engineOf(await(vm.client.open(demand(100)))), is("d1"));
		assertThat(this.lost.stream().skip(before).filter(PlaceRequest.class::isInstance).toList(), hasSize(0));
	}

	@Test
	void vmPlacesTheRequestItselfWhenNothingAnswers() throws Exception {
		Vm vm = other(scheduler());
		this.loses = (receiver, message) -> message instanceof SchedulerReply;
		long startedAt = System.nanoTime();
		assertThat(await(vm.client.open(demand(100))), is(instanceOf(PlacementAnswer.Unanswered.class)));
		assertThat((System.nanoTime() - startedAt) / 1_000_000, is(lessThan(1000L)));
	}

	/**
	 * Two schedulers do not know of each other's requests. The engine refuses what does
	 * not fit, and the request goes to another engine.
	 * @throws Exception if the test is interrupted
	 */
	@Test
	void requestGoesElsewhereIfAnotherSchedulerHasFilledTheEngine() throws Exception {
		this.engines = List.of(engine("d1"), engine("d2"));
		Vm scheduler = scheduler();
		Vm vm = other(scheduler);
		Vm cutOff = other(scheduler, vm);
		String engine = engineOf(await(vm.client.open(demand(LARGE))));
		cutOff.client.silent(scheduler.name, System.nanoTime() + ALIVE_NANOS);
		SchedulerTicket ticket = cutOff.client.open(demand(LARGE));
		String first = engineOf(await(ticket));
		if (first.equals(engine)) {
			ticket.engineRefused(first);
			first = engineOf(await(ticket));
		}
		assertThat(first, is(not(engine)));
	}

	@Test
	void placementsOfAKilledVmEnd() throws Exception {
		Vm scheduler = scheduler();
		Vm killed = other(scheduler);
		Vm vm = other(scheduler, killed);
		await(killed.client.open(demand(LARGE)));
		killed.dead = true;
		this.skewNanos.addAndGet(3_200_000_000L);
		assertThat(engineOf(await(vm.client.open(demand(LARGE)))), is("d1"));
	}

	@Test
	void lateAnswerToARequestThatWasGivenUpLeaksNoMemory() throws Exception {
		Vm scheduler = scheduler();
		Vm vm = other(scheduler);
		this.loses = (receiver, message) -> message instanceof PlacedReply || message instanceof ProgressReport;
		SchedulerTicket ticket = vm.client.open(demand(LARGE));
		assertThat(await(ticket), is(instanceOf(PlacementAnswer.Unanswered.class)));
		ticket.close(0);
		this.loses = (receiver, message) -> message instanceof HoldingsReport;
		this.lost.stream()
			.filter(PlacedReply.class::isInstance)
			.toList()
			.forEach((reply) -> vm.client.receive((PlacedReply) reply));
		assertThat(engineOf(await(scheduler.client.open(demand(LARGE)))), is("d1"));
	}

	/**
	 * Client and host of a VM.
	 */
	private final class Vm implements EngineSource {

		private final String name;

		private final Membership membership;

		private final SchedulerHost host;

		private final SchedulerClient client;

		private volatile boolean dead;

		private int ticks;

		private Vm(GossipMember self) {
			this.name = self.vm();
			this.membership = Membership.of(self);
			SchedulerMetrics metrics = new SchedulerMetrics(new SimpleMeterRegistry());
			this.host = new SchedulerHost(this.name, this,
					(now) -> LeastCostScheduler.create(now - TimeUnit.SECONDS.toNanos(1)),
					SchedulerFailureTests.this::now, metrics, DecisionLog.create());
			this.client = new SchedulerClient(this.membership, this, this::send, SchedulerFailureTests.this::now,
					metrics, DecisionLog.create());
		}

		private void send(GossipMember target, Record message) {
			Vm receiver = SchedulerFailureTests.this.vms.get(target.vm());
			if (isLost(receiver, message)) {
				return;
			}
			SocketAddress sender = InetSocketAddress.createUnresolved(this.name, 1);
			if (message instanceof PlaceRequest place) {
				receiver.dispatch(receiver.host.place(place, sender));
			}
			else if (message instanceof ProgressReport progress) {
				receiver.dispatch(receiver.host.progress(progress));
			}
			else if (message instanceof HoldingsReport holdings) {
				SchedulerStatus status = receiver.host.holdings(holdings, sender);
				if (status != null) {
					this.client.receive(status);
				}
			}
		}

		private boolean isLost(Vm receiver, Record message) {
			boolean isLost = this.dead || receiver.dead
					|| SchedulerFailureTests.this.loses.test(receiver.name, message);
			if (isLost) {
				SchedulerFailureTests.this.lost.add(message);
			}
			return isLost;
		}

		private void dispatch(List<HostedGroup.Outgoing> outgoing) {
			for (HostedGroup.Outgoing reply : outgoing) {
				InetSocketAddress address = (InetSocketAddress) reply.receiver();
				Vm receiver = SchedulerFailureTests.this.vms.get((address != null) ? address.getHostString() : "");
				if (receiver != null && !isLost(receiver, (Record) reply.message())) {
					receiver.client.receive(reply.message());
				}
			}
		}

		private void tick() {
			if (!this.dead) {
				dispatch(this.host.decide());
				if (this.ticks++ % 10 == 0) {
					this.client.tick();
				}
			}
		}

		@Override
		public List<RegisteredEndpoint> engines(String service) {
			return SchedulerFailureTests.this.engines;
		}

		@Override
		public long memoryTokens(String service) {
			return MEMORY;
		}

	}

}
