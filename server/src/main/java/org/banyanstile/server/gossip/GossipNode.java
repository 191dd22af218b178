package org.banyanstile.server.gossip;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.banyanstile.core.common.Ticker;
import org.banyanstile.core.membership.VersionPoll;
import org.banyanstile.core.placement.LeavingReport;
import org.banyanstile.core.replica.ReplicaRow;
import org.banyanstile.io.frame.Message;
import org.banyanstile.io.frame.MessageCodec;
import org.banyanstile.server.canary.Rollouts;
import org.banyanstile.server.router.DecisionLog;
import org.banyanstile.server.view.FleetTable;
import org.banyanstile.server.view.FleetView;
import org.banyanstile.server.view.TableRead;
import org.banyanstile.server.vm.Addresses;
import org.jspecify.annotations.Nullable;

/**
 * Exchanges state with other VMs by datagrams: with some of them in each round, and with
 * all of them right after a change of the operator's table. Every message is idempotent,
 * so lost, duplicate and reordered datagrams do no harm.
 *
 * @author banyanstile contributors
 */
public final class GossipNode implements AutoCloseable {

	private static final long ROUND_MILLIS = 250;

	/**
	 * Rounds from one member list to the next in a fleet in which each VM sends to all
	 * others in each round. Two lists are sent before a VM that only some can reach
	 * counts as dead. In a larger fleet each VM sends the list to one VM in each round,
	 * so each VM receives four lists a second.
	 */
	private static final int ROUNDS_PER_MEMBER_LIST = 4;

	/**
	 * Rounds from one member list for another data centre to the next. The other lists
	 * stay in the data centre, since a list is by far the largest message and links
	 * between data centres are scarce. All VMs of a data centre together still send more
	 * lists than it takes to pass a heartbeat on within a second.
	 */
	private static final int ROUNDS_PER_REMOTE_LIST = 4;

	private static final int MAX_DATAGRAM_BYTES = 60_000;

	/**
	 * Live VMs of the lowest names that receive all reports on rollouts.
	 */
	private static final int DECIDING_VMS = 3;

	private static final int TABLE_COUNT = FleetTable.values().length;

	private final DatagramChannel channel;

	private final Membership membership;

	private final FleetView view;

	private final LocalState local;

	private final Ticker ticker;

	private final DecisionLog log;

	private final MessageCodec codec;

	private final Random random = new Random();

	private final PeerRotation rotation;

	private final VersionPolls polls = new VersionPolls();

	private final ScheduledExecutorService timer;

	private volatile Set<String> seeds = Set.of();

	private volatile Set<String> registered = Set.of();

	private volatile @Nullable Rollouts rollouts;

	private volatile boolean closed;

	private GossipNode(DatagramChannel channel, Membership membership, FleetView view, LocalState local, Ticker ticker,
			DecisionLog log) {
		this.channel = channel;
		this.membership = membership;
		this.rotation = PeerRotation.of(membership.self().peerAddress());
		this.view = view;
		this.local = local;
		this.ticker = ticker;
		this.log = log;
		this.codec = codec();
		this.timer = Executors.newSingleThreadScheduledExecutor((body) -> {
			Thread thread = new Thread(body, "gossip-timer");
			thread.setDaemon(true);
			return thread;
		});
	}

	/**
	 * Opens the socket and starts the gossip rounds.
	 * @param address address to bind
	 * @param membership the VMs of the fleet
	 * @param view copy of the store's tables
	 * @param local state of this VM
	 * @param ticker time source
	 * @param log log of changes
	 * @return the node
	 * @throws IOException if the address cannot be bound
	 */
	public static GossipNode start(InetSocketAddress address, Membership membership, FleetView view, LocalState local,
			Ticker ticker, DecisionLog log) throws IOException {
		DatagramChannel channel = DatagramChannel.open();
		try {
			channel.bind(address);
		}
		catch (IOException ex) {
			channel.close();
			throw ex;
		}
		GossipNode node = new GossipNode(channel, membership, view, local, ticker, log);
		Thread receiver = new Thread(node::receive, "gossip-receiver");
		receiver.setDaemon(true);
		receiver.start();
		var unused = node.timer.scheduleAtFixedRate(node::round, 0, ROUND_MILLIS, TimeUnit.MILLISECONDS);
		view.onChange((table) -> {
			if (table == FleetTable.OPERATOR) {
				node.timer.execute(() -> node.send(node.allAddresses(), false));
			}
		});
		return node;
	}

	private static MessageCodec codec() {
		return MessageCodec.create()
			.registerNested(GossipMember.class)
			.registerNested(GossipLoad.class)
			.registerNested(GossipUse.class)
			.registerNested(GossipRoleChange.class)
			.registerNested(GossipCrashes.class)
			.registerNested(GossipLimit.class)
			.registerNested(GossipLeaving.class)
			.registerNested(GossipRow.class)
			.registerNested(GossipWork.class)
			.registerNested(GossipSpeed.class)
			.registerNested(GossipEngines.class)
			.registerNested(GossipVersion.class)
			.registerNested(GossipVersions.class)
			.register(GossipRows.class)
			.register(GossipState.class)
			.registerNested(GossipRouteOutcomes.class)
			.registerNested(GossipRollout.class)
			.register(GossipRollouts.class)
			.register(GossipVersionQuery.class)
			.register(GossipVersionAnswer.class);
	}

	/**
	 * Sets seed addresses, which are used in addition to those of known VMs.
	 * @param addresses addresses of VMs, which may be down
	 */
	public void setSeeds(Collection<String> addresses) {
		this.seeds = Set.copyOf(addresses);
	}

	/**
	 * Sets the addresses of registered VMs, which replace those of an earlier call.
	 * @param addresses addresses of VMs, which may be down
	 */
	public void setRegistered(Collection<String> addresses) {
		this.registered = Set.copyOf(addresses);
	}

	/**
	 * Sets the rollouts that are exchanged while there are any.
	 * @param rollouts the rollouts
	 */
	public void setRollouts(Rollouts rollouts) {
		this.rollouts = rollouts;
	}

	/**
	 * Sends the reports on rollouts to all known VMs at once.
	 */
	public void announceRollouts() {
		sendRollouts(allAddresses());
	}

	// The VMs of the lowest names receive all reports in each round, since they decide.
	private void sendRollouts(Collection<String> targets) {
		GossipRollouts message = RolloutExchange.message(this.membership.self(), this.rollouts);
		if (message == null) {
			return;
		}
		Set<String> receivers = new LinkedHashSet<>(targets);
		this.membership.alivePeers(this.ticker.nanos())
			.stream()
			.limit(DECIDING_VMS)
			.forEach((member) -> receivers.add(member.peerAddress()));
		try {
			ByteBuffer datagram = ByteBuffer.wrap(this.codec.encode(new Message(Message.ONE_WAY, message)));
			receivers.forEach((target) -> sendTo(target, datagram.duplicate()));
		}
		catch (IOException ex) {
			this.log.problem("cannot encode the reports on rollouts", ex);
		}
	}

	/**
	 * Sends the state to all known VMs at once.
	 */
	public void announce() {
		send(allAddresses(), false);
	}

	/**
	 * Asks the other VMs whether they know a newer version of a table than this VM.
	 * @param table the table
	 * @param others names of all other VMs, also of those that do not respond
	 * @return whether a majority of all VMs has answered and none knows a newer version
	 */
	public boolean isCurrent(FleetTable table, Set<String> others) {
		long number = this.polls.open(VersionPoll.create(others, this.view.version(table)));
		Set<String> targets = new LinkedHashSet<>(this.registered);
		this.membership.knownPeers().forEach((member) -> targets.add(member.peerAddress()));
		targets.remove(this.membership.self().peerAddress());
		try {
			ByteBuffer query = ByteBuffer
				.wrap(this.codec.encode(new Message(Message.ONE_WAY, new GossipVersionQuery(number, table.ordinal()))));
			targets.forEach((target) -> sendTo(target, query.duplicate()));
		}
		catch (IOException ex) {
			this.log.problem("cannot encode a question for the version of a table", ex);
		}
		return this.polls.await(number);
	}

	private void round() {
		try {
			this.view.dropExpired();
			this.membership.advanceHeartbeat(this.local.memberState());
			Set<String> all = allAddresses();
			List<String> targets = this.rotation.next(all);
			long heartbeat = this.membership.self().heartbeat();
			sendRollouts(targets);
			if (targets.size() == all.size()) {
				send(targets, heartbeat % ROUNDS_PER_MEMBER_LIST == 0);
				return;
			}
			String listTarget = this.membership.randomPeer(heartbeat % ROUNDS_PER_REMOTE_LIST != 0, this.random);
			if (listTarget != null) {
				send(List.of(listTarget), true);
				targets.remove(listTarget);
			}
			send(targets, listTarget == null);
		}
		catch (RuntimeException | Error ex) {
			this.log.problem("gossip round failed", ex);
		}
	}

	private Set<String> allAddresses() {
		Set<String> addresses = new LinkedHashSet<>();
		this.membership.knownPeers().forEach((member) -> addresses.add(member.peerAddress()));
		if (addresses.size() < 3 || this.random.nextInt(8) == 0) {
			addresses.addAll(this.seeds);
			addresses.addAll(this.registered);
		}
		addresses.remove(this.membership.self().peerAddress());
		return addresses;
	}

	private void send(Collection<String> targets, boolean withMembers) {
		if (targets.isEmpty()) {
			return;
		}
		try {
			ByteBuffer datagram = ByteBuffer
				.wrap(this.codec.encode(new Message(Message.ONE_WAY, state(withMembers, false))));
			for (String target : targets) {
				sendTo(target, datagram.duplicate());
			}
		}
		catch (IOException ex) {
			this.log.problem("cannot encode the gossip state", ex);
		}
	}

	private void sendTo(String target, ByteBuffer datagram) {
		try {
			send(datagram, Addresses.parse(target));
		}
		catch (IllegalArgumentException ex) {
			this.log.problem("a VM has no usable address: " + target, ex);
		}
	}

	private GossipState state(boolean withMembers, boolean reply) {
		List<Long> versions = new ArrayList<>();
		List<Long> millis = new ArrayList<>();
		for (FleetTable table : FleetTable.values()) {
			versions.add(this.view.version(table));
			millis.add(this.view.storeMillis(table));
		}
		List<GossipMember> peers = withMembers ? this.membership.alivePeers(this.ticker.nanos()) : List.of();
		return new GossipState(this.membership.self(), peers, this.local.loads(), this.local.uses(),
				this.local.roleChanges(), this.local.crashes(), this.local.limits(), versions, millis, reply,
				this.local.engines(), this.view.configurationVersion(), this.local.versions(), leaving());
	}

	private List<GossipLeaving> leaving() {
		return this.view.leavingReports()
			.stream()
			.map((report) -> new GossipLeaving(report.endpoint(), report.startMillis(), report.ageMillis()))
			.toList();
	}

	private void receiveLeaving(@Nullable List<GossipLeaving> leaving) {
		if (leaving != null) {
			this.view.recordLeaving(leaving.stream()
				.map((notice) -> new LeavingReport(notice.endpoint(), notice.startMillis(), notice.ageMillis()))
				.toList());
		}
	}

	private void send(ByteBuffer datagram, SocketAddress target) {
		if (datagram.remaining() > MAX_DATAGRAM_BYTES) {
			this.log.problem("a datagram to another VM is too large; that VM has to read the store instead",
					new IOException(datagram.remaining() + " bytes"));
			return;
		}
		try {
			this.channel.send(datagram, target);
		}
		catch (IOException ex) {
			if (!this.closed) {
				this.log.problem("cannot send a datagram to " + target, ex);
			}
		}
	}

	private void receive() {
		ByteBuffer buffer = ByteBuffer.allocate(65_536);
		while (!this.closed) {
			try {
				buffer.clear();
				SocketAddress sender = this.channel.receive(buffer);
				if (sender == null) {
					continue;
				}
				byte[] bytes = new byte[buffer.flip().remaining()];
				buffer.get(bytes);
				handle(this.codec.decode(bytes).payload(), sender);
			}
			catch (IOException | RuntimeException | Error ex) {
				if (!this.closed) {
					this.log.problem("ignored a datagram that could not be received or handled", ex);
				}
			}
		}
	}

	private void handle(Object payload, SocketAddress sender) throws IOException {
		if (payload instanceof GossipState state) {
			receive(state, sender);
		}
		else if (payload instanceof GossipRows rows) {
			receive(rows);
		}
		else if (payload instanceof GossipRollouts message) {
			RolloutExchange.receive(message, this.rollouts);
		}
		else if (payload instanceof GossipVersionQuery query) {
			GossipVersionAnswer answer = new GossipVersionAnswer(query.number(), this.membership.self().vm(),
					this.view.version(FleetTable.values()[query.table()]));
			send(ByteBuffer.wrap(this.codec.encode(new Message(Message.ONE_WAY, answer))), sender);
		}
		else if (payload instanceof GossipVersionAnswer answer) {
			this.polls.answered(answer);
		}
	}

	private void receive(GossipState state, SocketAddress sender) throws IOException {
		List<GossipMember> members = new ArrayList<>(state.members());
		members.add(state.self());
		this.membership.merge(members, this.ticker.nanos());
		this.local.received(state);
		receiveLeaving(state.leaving());
		boolean behind = false;
		for (int i = 0; i < Math.min(TABLE_COUNT, state.versions().size()); i++) {
			FleetTable table = FleetTable.values()[i];
			int order = compare(table, state.versions().get(i), state.millis().get(i));
			if (order < 0) {
				sendRows(table, state.versions().get(i), sender);
			}
			behind |= order > 0;
		}
		if (behind && !state.reply()) {
			send(ByteBuffer.wrap(this.codec.encode(new Message(Message.ONE_WAY, state(true, true)))), sender);
		}
		sendConfigurationIfNewer(state, sender);
	}

	// The store's clock orders confirmations of one version only.
	private int compare(FleetTable table, long version, long millis) {
		int order = Long.compare(version, this.view.version(table));
		return (order != 0) ? order : Long.compare(millis, this.view.storeMillis(table));
	}

	// Two VMs that have the same version of the table differ in the configuration if one
	// of them was not up before the store returned from a copy without it.
	private void sendConfigurationIfNewer(GossipState state, SocketAddress sender) throws IOException {
		Long configuration = state.configuration();
		if (configuration == null || configuration >= this.view.configurationVersion()
				|| state.versions().get(FleetTable.OPERATOR.ordinal()) != this.view.version(FleetTable.OPERATOR)) {
			return;
		}
		TableRead read = this.view.configuration();
		send(FleetTable.OPERATOR, false, read.version(), read, sender);
	}

	private void sendRows(FleetTable table, long after, SocketAddress target) throws IOException {
		FleetView.MissingRows missing = this.view.changesAfter(table, after);
		send(table, missing.whole(), after, missing.read(), target);
	}

	private void send(FleetTable table, boolean whole, long after, TableRead read, SocketAddress target)
			throws IOException {
		List<GossipRow> rows = new ArrayList<>();
		for (ReplicaRow row : read.rows()) {
			byte[] value = row.value();
			rows.add(new GossipRow(row.key(), row.version(),
					(value != null) ? RowCompression.compress(value) : new byte[0]));
		}
		GossipRows message = new GossipRows(table.ordinal(), whole, after, read.version(), read.millis(), rows);
		send(ByteBuffer.wrap(this.codec.encode(new Message(Message.ONE_WAY, message))), target);
	}

	private void receive(GossipRows message) throws IOException {
		List<ReplicaRow> rows = new ArrayList<>();
		for (GossipRow row : message.rows()) {
			rows.add(new ReplicaRow(row.key(), row.version(),
					(row.value().length > 0) ? RowCompression.decompress(row.value()) : null));
		}
		TableRead read = new TableRead(rows, message.version(), message.millis());
		FleetTable table = FleetTable.values()[message.table()];
		if (message.whole()) {
			this.view.replace(table, read);
		}
		else {
			this.view.apply(table, message.after(), read);
		}
	}

	/**
	 * Ends the gossip rounds and closes the socket.
	 */
	@Override
	public void close() {
		this.closed = true;
		this.timer.shutdownNow();
		try {
			this.channel.close();
		}
		catch (IOException ex) {
			this.log.problem("failed to close the gossip socket", ex);
		}
	}

	/**
	 * State of this VM that is sent to other VMs, and receiver of their states.
	 *
	 * @author banyanstile contributors
	 */
	public interface LocalState {

		/**
		 * Returns the current state of this VM.
		 * @return its state
		 */
		MemberState memberState();

		/**
		 * Returns the running requests of this VM by endpoint.
		 * @return the loads
		 */
		List<GossipLoad> loads();

		/**
		 * Returns the tokens that this VM has used since its start.
		 * @return the use by team
		 */
		List<GossipUse> uses();

		/**
		 * Returns the role changes that this VM knows to be in progress.
		 * @return the role changes
		 */
		List<GossipRoleChange> roleChanges();

		/**
		 * Returns the evidence against requests that crash endpoints.
		 * @return some of the evidence of this VM
		 */
		List<GossipCrashes> crashes();

		/**
		 * Returns the request limits that endpoints named.
		 * @return some of the limits that this VM knows
		 */
		List<GossipLimit> limits();

		/**
		 * Returns what this VM has observed of engines.
		 * @return the observations, empty if they are not used
		 */
		GossipEngines engines();

		/**
		 * Returns the software versions that have served.
		 * @return the versions, {@code null} to send none
		 */
		default @Nullable GossipVersions versions() {
			return null;
		}

		/**
		 * Receives the state of another VM.
		 * @param state the state
		 */
		void received(GossipState state);

	}

}
