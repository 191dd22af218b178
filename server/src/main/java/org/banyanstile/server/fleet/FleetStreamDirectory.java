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
 * While the owner of a partition is unknown or unreachable, its requests cannot be taken
 * over.
 *
 * @author banyanstile contributors
 */
public final class FleetStreamDirectory implements StreamDirectory {

	private static final Duration LOOKUP_TIMEOUT = Duration.ofMillis(300);

	/**
	 * Longer than a VM needs to end a superseded request.
	 */
	private static final Duration TAKEOVER_TIMEOUT = Duration.ofSeconds(4);

	private final Ownership ownership;

	private final Messenger messenger;

	private final RunningStreams running;

	private final RequestTable table = new RequestTable();

	private final Map<StreamKey, Announcement> announcements = new ConcurrentHashMap<>();

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
		// Inline to keep their order: workers could handle a withdrawal before the
		// announcement.
		handlers.registerInline(StreamLookup.class, directory::handleLookup);
		handlers.registerInline(StreamAnnounce.class, directory::handleAnnounce);
		handlers.registerInline(StreamWithdraw.class, directory::handleWithdraw);
		handlers.register(StreamTakeover.class, directory::handleTakeover);
		return directory;
	}

	@Override
	public TakeoverResult takeOver(StreamKey key, String bodyHash) {
		VmId owner = this.ownership.ownerOf(Partitions.request(key));
		if (owner == null) {
			return new TakeoverResult.NotRunning();
		}
		StreamLookup lookup = new StreamLookup(key.team().name(), key.keyHash(), bodyHash);
		StreamFound found = (owner.equals(this.ownership.self())) ? enterRequest(key, owner, bodyHash)
				: request(owner, lookup, LOOKUP_TIMEOUT);
		if (found == null || found.vm() == null || found.vm().equals(this.ownership.self().name())) {
			return new TakeoverResult.NotRunning();
		}
		if (!bodyHash.equals(found.bodyHash())) {
			return new TakeoverResult.OtherBody();
		}
		StreamFound handedOver = request(VmId.of(found.vm()), new StreamTakeover(lookup.team(), lookup.keyHash()),
				TAKEOVER_TIMEOUT);
		return result((handedOver != null) ? handedOver : found, bodyHash);
	}

	private static TakeoverResult result(StreamFound found, String bodyHash) {
		String requestId = found.requestId();
		String endpoint = found.endpoint();
		if (requestId == null || endpoint == null) {
			return new TakeoverResult.NotRunning();
		}
		return new TakeoverResult.Taken(new StreamLocation(requestId, EndpointId.of(endpoint), bodyHash));
	}

	private @Nullable StreamFound request(VmId vm, Record message, Duration timeout) {
		try {
			return this.messenger.request(vm, message, StreamFound.class, timeout);
		}
		catch (VmRequestException ex) {
			return null;
		}
	}

	@Override
	public void announce(StreamKey key, StreamLocation location) {
		Announcement announcement = new Announcement(location);
		this.announcements.put(key, announcement);
		announce(key, announcement);
	}

	private void announce(StreamKey key, Announcement announcement) {
		VmId owner = this.ownership.ownerOf(Partitions.request(key));
		if (owner == null || owner.equals(announcement.owner)) {
			return;
		}
		StreamLocation location = announcement.location;
		boolean sent = true;
		if (owner.equals(this.ownership.self())) {
			this.table.announce(key, owner, location);
		}
		else {
			sent = this.messenger.send(owner, new StreamAnnounce(key.team().name(), key.keyHash(), location.requestId(),
					location.endpoint().name(), location.bodyHash()));
		}
		announcement.owner = sent ? owner : null;
	}

	/**
	 * Announces the requests of this VM to owners that have not received them yet. Must
	 * be called every few seconds.
	 */
	public void announceAgain() {
		this.announcements.forEach(this::announce);
	}

	@Override
	public void withdraw(StreamKey key) {
		this.announcements.remove(key);
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

	private StreamFound enterRequest(StreamKey key, VmId from, String bodyHash) {
		RequestTable.Entry entry = this.table.setServingVm(key, from, bodyHash);
		if (entry == null) {
			return StreamFound.none();
		}
		StreamLocation location = entry.location();
		return new StreamFound((location != null) ? location.requestId() : null,
				(location != null) ? location.endpoint().name() : null, entry.vm().name(), entry.bodyHash());
	}

	private Record handleLookup(VmId from, StreamLookup message) {
		StreamKey key = new StreamKey(TeamId.of(message.team()), message.keyHash());
		if (this.ownership.tokenOf(Partitions.request(key)) == 0) {
			return new Failure("not the owner");
		}
		return enterRequest(key, from, message.bodyHash());
	}

	private @Nullable Record handleAnnounce(VmId from, StreamAnnounce message) {
		StreamKey key = new StreamKey(TeamId.of(message.team()), message.keyHash());
		this.table.announce(key, from,
				new StreamLocation(message.requestId(), EndpointId.of(message.endpoint()), message.bodyHash()));
		return null;
	}

	private @Nullable Record handleWithdraw(VmId from, StreamWithdraw message) {
		this.table.withdraw(new StreamKey(TeamId.of(message.team()), message.keyHash()), from);
		return null;
	}

	private Record handleTakeover(VmId from, StreamTakeover message) {
		StreamKey key = new StreamKey(TeamId.of(message.team()), message.keyHash());
		StreamLocation location = this.running.handOver(key);
		if (location == null) {
			return StreamFound.none();
		}
		return new StreamFound(location.requestId(), location.endpoint().name(), this.ownership.self().name(),
				location.bodyHash());
	}

	/**
	 * A request of this VM and the owner that it was announced to.
	 *
	 * @author banyanstile contributors
	 */
	private static final class Announcement {

		private final StreamLocation location;

		private volatile @Nullable VmId owner;

		private Announcement(StreamLocation location) {
			this.location = location;
		}

	}

}
