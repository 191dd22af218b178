package org.banyanstile.core.lease;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.List;

import org.banyanstile.core.common.VmId;
import org.jspecify.annotations.Nullable;

/**
 * Preferred owner of a partition by rendezvous hashing: a VM that joins or leaves moves
 * only the partitions that it gains or loses.
 *
 * @author banyanstile contributors
 */
public final class RendezvousHash {

	private static final String POOL = "pool/";

	private RendezvousHash() {
	}

	/**
	 * Returns the preferred owner. Partitions {@code pool/<dataCentre>/...} prefer VMs in
	 * that data centre, and any VM if there are none.
	 * @param partition name of the partition
	 * @param live slots of the VMs that may own partitions
	 * @return the VM, or {@code null} if there are no VMs
	 */
	public static @Nullable VmId preferred(String partition, Collection<SlotRecord> live) {
		Collection<SlotRecord> candidates = candidates(partition, live);
		VmId best = null;
		long bestScore = 0;
		for (SlotRecord slot : candidates) {
			long score = score(partition, slot.vm().name());
			int order = (best != null) ? Long.compareUnsigned(score, bestScore) : 1;
			if (best == null || order > 0 || (order == 0 && slot.vm().compareTo(best) < 0)) {
				best = slot.vm();
				bestScore = score;
			}
		}
		return best;
	}

	private static Collection<SlotRecord> candidates(String partition, Collection<SlotRecord> live) {
		if (!partition.startsWith(POOL)) {
			return live;
		}
		String rest = partition.substring(POOL.length());
		String dataCentre = rest.substring(0, Math.max(0, rest.indexOf('/')));
		List<SlotRecord> local = live.stream().filter((slot) -> slot.dataCentre().name().equals(dataCentre)).toList();
		return local.isEmpty() ? live : local;
	}

	/**
	 * Returns the score of a member for a key. The member with the highest score,
	 * compared as an unsigned number, is the preferred one.
	 * @param key the key
	 * @param member name of the member
	 * @return the score
	 */
	public static long score(String key, String member) {
		// FNV-1a with a final mix, since its high bits depend little on the last bytes.
		long hash = 0xcbf29ce484222325L;
		for (byte b : (key + "\n" + member).getBytes(StandardCharsets.UTF_8)) {
			hash = (hash ^ (b & 0xff)) * 0x100000001b3L;
		}
		hash = (hash ^ (hash >>> 33)) * 0xff51afd7ed558ccdL;
		hash = (hash ^ (hash >>> 33)) * 0xc4ceb9fe1a85ec53L;
		return hash ^ (hash >>> 33);
	}

}
