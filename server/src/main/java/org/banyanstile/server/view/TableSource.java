package org.banyanstile.server.view;

import java.time.Duration;
import java.util.List;

import org.banyanstile.core.canary.RolloutOrder;
import org.banyanstile.core.canary.RolloutStage;
import org.banyanstile.core.quarantine.TrialRow;
import org.banyanstile.core.quarantine.TrialWrite;
import org.banyanstile.core.stream.ServedVersion;
import org.banyanstile.core.stream.StreamOrigin;
import org.jspecify.annotations.Nullable;

/**
 * Access to the platform's store.
 *
 * @author banyanstile contributors
 */
public interface TableSource {

	/**
	 * Returns the highest era that a response of the store named. A store that returns
	 * from a copy begins a new era, in which it gives out versions again.
	 * @return the era, 0 before the first response
	 */
	long era();

	/**
	 * Reads a whole table.
	 * @param table the table
	 * @return its rows as of one moment
	 * @throws TableSourceException if the store did not respond
	 */
	TableRead readAll(FleetTable table) throws TableSourceException;

	/**
	 * Waits for changes of a table.
	 * @param table the table
	 * @param after version after which changes are wanted
	 * @param wait longest time that the store waits for a change
	 * @return changed and removed rows, empty if there were none
	 * @throws HistoryLostException if the store no longer has these changes
	 * @throws TableSourceException if the store did not respond
	 */
	TableRead changes(FleetTable table, long after, Duration wait) throws TableSourceException;

	/**
	 * Returns the changes of a table so far, for a request that waits for them.
	 * @param table the table
	 * @param after version after which changes are wanted
	 * @return changed and removed rows, empty if there were none
	 * @throws HistoryLostException if the store no longer has these changes
	 * @throws TableSourceException if the store did not respond
	 */
	default TableRead promptChanges(FleetTable table, long after) throws TableSourceException {
		return changes(table, after, Duration.ZERO);
	}

	/**
	 * Registers a VM, so that other VMs find it when the seeds are down.
	 * @param vm name of the VM
	 * @param peerAddress its address for other VMs
	 * @throws TableSourceException if the store did not confirm it
	 */
	void register(String vm, String peerAddress) throws TableSourceException;

	/**
	 * Returns the registered VMs.
	 * @return their rows
	 * @throws TableSourceException if the store did not respond
	 */
	List<VmRow> registered() throws TableSourceException;

	/**
	 * Removes the row of a VM unless it was written since it was read.
	 * @param row the row as it was read
	 * @throws TableSourceException if the store did not respond, so the outcome is
	 * unknown
	 */
	void unregister(VmRow row) throws TableSourceException;

	/**
	 * Reads the row that names the owner of role changes.
	 * @return the row
	 * @throws TableSourceException if the store did not respond
	 */
	RoleChangeOwnerRow roleChangeOwner() throws TableSourceException;

	/**
	 * Writes the row that names the owner of role changes, if it still has a version.
	 * @param vm name of this VM
	 * @param expectedVersion the version that was read
	 * @return the new version, or -1 if the row has another version
	 * @throws TableSourceException if the store did not respond, so the outcome is
	 * unknown
	 */
	long writeRoleChangeOwner(String vm, long expectedVersion) throws TableSourceException;

	/**
	 * Reads the row with the stage of a rollout.
	 * @param service name of the service
	 * @return the row
	 * @throws TableSourceException if the store did not respond
	 */
	RolloutRow rollout(String service) throws TableSourceException;

	/**
	 * Writes the stage of a rollout and the state that the operator reads, if the row of
	 * the stage still has a version.
	 * @param order the request of the operator
	 * @param stage the stage
	 * @param expectedVersion the version that the row must have, 0 if it must not exist
	 * @return the new version, or -1 if the row has another version
	 * @throws TableSourceException if the store did not respond, so the outcome is
	 * unknown
	 */
	long writeRollout(RolloutOrder order, RolloutStage stage, long expectedVersion) throws TableSourceException;

	/**
	 * Writes rows with claims to trials if all of them still have the versions given. The
	 * store responds soon or not at all, since a request waits for it.
	 * @param rows the rows
	 * @return whether they were written, and the current rows if not
	 * @throws TableSourceException if the store did not respond, so the outcome is
	 * unknown
	 */
	TrialWrite writeTrials(List<TrialRow> rows) throws TableSourceException;

	/**
	 * Writes the origins of streams.
	 * @param write the rows, at most 100 together
	 * @throws TableSourceException if the store did not respond, so the outcome is
	 * unknown
	 */
	void writeStreams(StreamWrite write) throws TableSourceException;

	/**
	 * Reads the origin of a stream.
	 * @param attempt id of the attempt that brought its first event
	 * @return the origin, or {@code null} if the store does not hold it
	 * @throws TableSourceException if the store did not respond
	 */
	@Nullable
	StreamOrigin streamOrigin(String attempt) throws TableSourceException;

	/**
	 * Reads the versions of the services that have had several.
	 * @return the versions, whose ages count from the last write that names them
	 * @throws TableSourceException if the store did not respond
	 */
	List<ServedVersion> servedVersions() throws TableSourceException;

	/**
	 * Reads which origins of streams are old. Their VMs have failed.
	 * @param minAgeMillis age from which an origin is old
	 * @return ids of the attempts
	 * @throws TableSourceException if the store did not respond
	 */
	List<String> oldStreams(long minAgeMillis) throws TableSourceException;

}
