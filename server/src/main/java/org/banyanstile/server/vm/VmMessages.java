package org.banyanstile.server.vm;

import java.util.List;

import org.banyanstile.core.common.TeamId;
import org.banyanstile.core.common.VmId;
import org.banyanstile.core.limit.GrantReply;
import org.banyanstile.core.limit.GrantRequest;
import org.banyanstile.core.membership.Heartbeat;
import org.banyanstile.io.frame.MessageCodec;

/**
 * Message types of the protocol between VMs.
 *
 * @author banyanstile contributors
 */
public final class VmMessages {

	private static final List<Class<? extends Record>> TYPES = List.of(Hello.class, HelloProof.class, Failure.class,
			Acknowledged.class, Heartbeat.class, ConfigPush.class, ConfigFetch.class, GrantRequest.class,
			GrantReply.class, FloorQuery.class, FloorPromise.class, SlotRequest.class, SlotReply.class,
			SlotRelease.class, SlotRenew.class, StreamAnnounce.class, StreamLookup.class, StreamFound.class,
			StreamTakeover.class, StreamWithdraw.class, ClaimQuery.class, ClaimReply.class, CrashVerdict.class,
			SlotRowsFetch.class, SlotRows.class);

	private VmMessages() {
	}

	/**
	 * Creates a codec for all message types. Further types may be registered before the
	 * first connection is made.
	 * @return the codec
	 */
	public static MessageCodec codec() {
		MessageCodec codec = MessageCodec.create()
			.registerNested(VmId.class)
			.registerNested(TeamId.class)
			.registerNested(SlotRow.class);
		TYPES.forEach(codec::register);
		return codec;
	}

}
