package org.banyanstile.core.membership;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.banyanstile.core.common.VmId;
import org.jspecify.annotations.Nullable;

/**
 * Latest heartbeat of each other VM. Not safe for use by several threads.
 * <p>
 * A VM that resumes after a pause finds old heartbeats in its socket buffers, so the time
 * of receipt alone does not show that a heartbeat is recent. Each heartbeat therefore
 * echoes the latest sequence number from the receiver, and its age is measured from when
 * the receiver sent that number.
 *
 * @author banyanstile contributors
 */
public final class PeerTable {

	/**
	 * Time since receipt after which a heartbeat is no longer evidence.
	 */
	public static final long MAX_RECEIPT_AGE_NANOS = 2_000_000_000L;

	/**
	 * Time since the echoed round was sent after which a heartbeat is no longer evidence.
	 * Two heartbeat periods pass in normal operation before a newer echo arrives; half a
	 * second is margin for jitter.
	 */
	public static final long MAX_ECHO_AGE_NANOS = 2_500_000_000L;

	private static final int RETAINED_ROUNDS = 16;

	/**
	 * Time without a heartbeat after which a VM is removed, since VMs are replaced under
	 * new names.
	 */
	private static final long RETENTION_NANOS = 60_000_000_000L;

	private final Map<VmId, PeerReport> reports = new LinkedHashMap<>();

	private final Map<VmId, Received> sequences = new LinkedHashMap<>();

	private final long[] sentAt = new long[RETAINED_ROUNDS];

	private final long first;

	private long next;

	private PeerTable(long first) {
		this.first = first;
		this.next = first;
	}

	/**
	 * Creates an empty table.
	 * @param firstSequence first sequence number, random so that echoes of an earlier
	 * process of this VM are not mistaken for new ones
	 * @return the table
	 */
	public static PeerTable create(long firstSequence) {
		return new PeerTable(Math.max(1, firstSequence));
	}

	/**
	 * Begins a round of heartbeats.
	 * @param now time before the heartbeats are sent
	 * @return sequence number of the round
	 */
	public long beginRound(long now) {
		this.sentAt[(int) (this.next % RETAINED_ROUNDS)] = now;
		this.reports.values().removeIf((report) -> now - report.receivedAt() > RETENTION_NANOS);
		this.sequences.values().removeIf((received) -> now - received.at() > RETENTION_NANOS);
		return this.next++;
	}

	/**
	 * Returns the echo for a heartbeat to a VM.
	 * @param receiver the VM
	 * @return latest sequence number received from it, 0 if none
	 */
	public long echoFor(VmId receiver) {
		Received received = this.sequences.get(receiver);
		return (received != null) ? received.sequence() : 0;
	}

	/**
	 * Records a heartbeat.
	 * @param heartbeat the heartbeat
	 * @param now time of receipt
	 */
	public void receive(Heartbeat heartbeat, long now) {
		this.sequences.put(heartbeat.vm(), new Received(heartbeat.sequence(), now));
		long echo = heartbeat.echo();
		if (echo < this.first || echo >= this.next || echo < this.next - RETAINED_ROUNDS) {
			return;
		}
		long notBefore = this.sentAt[(int) (echo % RETAINED_ROUNDS)];
		PeerReport current = this.reports.get(heartbeat.vm());
		if (current == null || notBefore - current.notBefore() >= 0) {
			this.reports.put(heartbeat.vm(), new PeerReport(heartbeat, now, notBefore));
		}
	}

	/**
	 * Returns the report of a VM if it is recent.
	 * @param vm the VM
	 * @param now the current time
	 * @return the report, or {@code null}
	 */
	public @Nullable PeerReport recent(VmId vm, long now) {
		PeerReport report = this.reports.get(vm);
		return (report != null && report.isRecent(now)) ? report : null;
	}

	/**
	 * Returns all recent reports.
	 * @param now the current time
	 * @return the reports
	 */
	public List<PeerReport> recent(long now) {
		return this.reports.values().stream().filter((report) -> report.isRecent(now)).toList();
	}

	/**
	 * Latest sequence number of a VM.
	 *
	 * @param sequence the number
	 * @param at time of receipt
	 * @author banyanstile contributors
	 */
	private record Received(long sequence, long at) {

	}

}
