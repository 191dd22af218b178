package org.banyanstile.server.fleet;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.banyanstile.core.common.EndpointId;
import org.banyanstile.core.common.TeamId;
import org.banyanstile.core.common.VmId;
import org.banyanstile.server.caller.RunningStreams;
import org.banyanstile.server.caller.StreamDirectory;
import org.banyanstile.server.caller.StreamKey;
import org.banyanstile.server.caller.StreamLocation;
import org.banyanstile.server.caller.TakeoverResult;
import org.banyanstile.server.vm.Failure;
import org.banyanstile.server.vm.MessageHandlers;
import org.banyanstile.server.vm.StreamAnnounce;
import org.banyanstile.server.vm.StreamFound;
import org.banyanstile.server.vm.StreamLookup;
import org.banyanstile.server.vm.StreamTakeover;
import org.banyanstile.server.vm.StreamWithdraw;
import org.banyanstile.server.vm.VmRequestException;
import org.jspecify.annotations.Nullable;

/**
 * Directory of running requests, kept by the owners of the {@code request/} partitions.
 * While a partition has no owner that can be reached, its requests cannot be taken over.
 *
 * @author banyanstile contributors
 */
public final class FleetStreamDirectory implements StreamDirectory {

	private static final Duration LOOKUP = Duration.ofMillis(300);

	/**
	 * Longer than a VM takes to end a superseded request.
	 */
	private static final Duration TAKEOVER = Duration.ofSeconds(4);

	private final Ownership ownership;

	private final Messenger messenger;

	private final RunningStreams running;

	private final RequestTable table = new RequestTable();

	private final Map<StreamKey, Announced> mine = new ConcurrentHashMap<>();

	private FleetStreamDirectory(Ownership ownership, Messenger messenger, RunningStreams running) {
		this.ownership = ownership;
		this.messenger = messenger;
		this.running = running;
	}

	/**
	 * Creates the directory and registers its message handlers.
	 * @param ownership owners of partitions
	 * @param messenger sends messages
	 * @param running requests of this VM
	 * @param handlers handlers of incoming messages
	 * @return the directory
	 */
	public static FleetStreamDirectory create(Ownership ownership, Messenger messenger, RunningStreams running,
			MessageHandlers handlers) {
		FleetStreamDirectory directory = new FleetStreamDirectory(ownership, messenger, running);
		// Inline, because workers could handle a withdrawal before the announcement.
		handlers.registerInline(StreamLookup.class, directory::lookUp);
		handlers.registerInline(StreamAnnounce.class, directory::announced);
		handlers.registerInline(StreamWithdraw.class, directory::withdrawn);
		handlers.register(StreamTakeover.class, directory::handOver);
		return directory;
	}

	@Override
	public TakeoverResult takeOver(StreamKey key, String bodyHash) {
		VmId owner = this.ownership.ownerOf(Partitions.request(key));
		if (owner == null) {
			return new TakeoverResult.NotRunning();
		}
		StreamLookup lookup = new StreamLookup(key.team().name(), key.keyHash(), bodyHash);
		StreamFound found = (owner.equals(this.ownership.self())) ? found(key, owner, bodyHash)
				: ask(owner, lookup, LOOKUP);
		if (found == null || found.vm() == null || found.vm().equals(this.ownership.self().name())) {
			return new TakeoverResult.NotRunning();
		}
		if (!bodyHash.equals(found.bodyHash())) {
			return new TakeoverResult.OtherBody();
		}
		StreamFound left = ask(VmId.of(found.vm()), new StreamTakeover(lookup.team(), lookup.keyHash()), TAKEOVER);
		return result((left != null) ? left : found, bodyHash);
	}

	private static TakeoverResult result(StreamFound found, String bodyHash) {
		String requestId = found.requestId();
		String endpoint = found.endpoint();
		if (requestId == null || endpoint == null) {
			return new TakeoverResult.NotRunning();
		}
		return new TakeoverResult.Taken(new StreamLocation(requestId, EndpointId.of(endpoint), bodyHash));
	}

	private @Nullable StreamFound ask(VmId vm, Record message, Duration timeout) {
		try {
			return this.messenger.request(vm, message, StreamFound.class, timeout);
		}
		catch (VmRequestException ex) {
			return null;
		}
	}

	@Override
	public void announce(StreamKey key, StreamLocation location) {
		Announced announced = new Announced(location);
		this.mine.put(key, announced);
		announce(key, announced);
	}

	private void announce(StreamKey key, Announced announced) {
		VmId owner = this.ownership.ownerOf(Partitions.request(key));
		if (owner == null || owner.equals(announced.owner)) {
			return;
		}
		StreamLocation location = announced.location;
		boolean sent = true;
		if (owner.equals(this.ownership.self())) {
			this.table.announce(key, owner, location);
		}
		else {
			sent = this.messenger.send(owner, new StreamAnnounce(key.team().name(), key.keyHash(), location.requestId(),
					location.endpoint().name(), location.bodyHash()));
		}
		announced.owner = sent ? owner : null;
	}

	/**
	 * Announces the requests of this VM to owners that do not know them yet. Call it
	 * every few seconds.
	 */
	public void announceAgain() {
		this.mine.forEach(this::announce);
	}

	@Override
	public void withdraw(StreamKey key) {
		this.mine.remove(key);
		VmId owner = this.ownership.ownerOf(Partitions.request(key));
		if (owner == null) {
			return;
		}
		if (owner.equals(this.ownership.self())) {
			this.table.withdraw(key, owner);
		}
		else {
			this.messenger.send(owner, new StreamWithdraw(key.team().name(), key.keyHash()));
		}
	}

	private StreamFound found(StreamKey key, VmId from, String bodyHash) {
		RequestTable.Entry entry = this.table.enter(key, from, bodyHash);
		if (entry == null) {
			return StreamFound.none();
		}
		StreamLocation location = entry.location();
		return new StreamFound((location != null) ? location.requestId() : null,
				(location != null) ? location.endpoint().name() : null, entry.vm().name(), entry.bodyHash());
	}

	private Record lookUp(VmId from, StreamLookup message) {
		StreamKey key = new StreamKey(TeamId.of(message.team()), message.keyHash());
		if (this.ownership.tokenOf(Partitions.request(key)) == 0) {
			return new Failure("not the owner");
		}
		return found(key, from, message.bodyHash());
	}

	private @Nullable Record announced(VmId from, StreamAnnounce message) {
		StreamKey key = new StreamKey(TeamId.of(message.team()), message.keyHash());
		this.table.announce(key, from,
				new StreamLocation(message.requestId(), EndpointId.of(message.endpoint()), message.bodyHash()));
		return null;
	}

	private @Nullable Record withdrawn(VmId from, StreamWithdraw message) {
		this.table.withdraw(new StreamKey(TeamId.of(message.team()), message.keyHash()), from);
		return null;
	}

	private Record handOver(VmId from, StreamTakeover message) {
		StreamKey key = new StreamKey(TeamId.of(message.team()), message.keyHash());
		StreamLocation location = this.running.handOver(key);
		if (location == null) {
			return StreamFound.none();
		}
		return new StreamFound(location.requestId(), location.endpoint().name(), this.ownership.self().name(),
				location.bodyHash());
	}

	/**
	 * A request of this VM and the owner that knows it.
	 *
	 * @author banyanstile contributors
	 */
	private static final class Announced {

		private final StreamLocation location;

		private volatile @Nullable VmId owner;

		private Announced(StreamLocation location) {
			this.location = location;
		}

	}

}
