package org.banyanstile.server.fleet;

import java.time.Duration;

import org.banyanstile.core.common.VmId;
import org.banyanstile.server.vm.VmPeers;
import org.banyanstile.server.vm.VmRequestException;

/**
 * Sends messages to other VMs.
 *
 * @author banyanstile contributors
 */
public interface Messenger {

	/**
	 * Sends a request and waits for the reply.
	 * @param vm the receiver
	 * @param message the request
	 * @param replyType type of the reply
	 * @param timeout longest wait
	 * @param <R> type of the reply
	 * @return the reply
	 * @throws VmRequestException if there was no reply
	 */
	<R extends Record> R request(VmId vm, Record message, Class<R> replyType, Duration timeout)
			throws VmRequestException;

	/**
	 * Sends a message without reply.
	 * @param vm the receiver
	 * @param message the message
	 * @return whether it was queued; it can still be lost
	 */
	boolean send(VmId vm, Record message);

	/**
	 * Sends a message without reply to all connected VMs.
	 * @param message the message
	 */
	void sendToAll(Record message);

	/**
	 * Returns a messenger over the connections of this VM.
	 * @param peers the connections
	 * @return the messenger
	 */
	static Messenger over(VmPeers peers) {
		return new Messenger() {
			@Override
			public <R extends Record> R request(VmId vm, Record message, Class<R> replyType, Duration timeout)
					throws VmRequestException {
				return peers.request(vm, message, replyType, timeout);
			}

			@Override
			public boolean send(VmId vm, Record message) {
				return peers.send(vm, message);
			}

			@Override
			public void sendToAll(Record message) {
				peers.sendToAll(message);
			}
		};
	}

}
