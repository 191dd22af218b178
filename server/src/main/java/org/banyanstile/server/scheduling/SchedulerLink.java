package org.banyanstile.server.scheduling;

import org.banyanstile.server.gossip.GossipMember;

/**
 * Sends messages to schedulers. Messages can be lost.
 *
 * @author banyanstile contributors
 */
interface SchedulerLink {

	/**
	 * Sends a message without waiting.
	 * @param scheduler the VM that schedules, may be this VM
	 * @param message the message
	 */
	void send(GossipMember scheduler, Record message);

}
