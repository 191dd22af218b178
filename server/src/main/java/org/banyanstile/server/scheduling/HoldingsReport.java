package org.banyanstile.server.scheduling;

import java.util.List;

import org.banyanstile.core.scheduling.Holding;

/**
 * All placements of a VM at the engines of a group.
 *
 * @param vm the VM
 * @param group the group of engines
 * @param holdings the placements
 * @author banyanstile contributors
 */
record HoldingsReport(String vm, EngineGroup group, List<Holding> holdings) {

}
