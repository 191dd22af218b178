package org.banyanstile.server.fleet;

import org.banyanstile.core.common.VmId;
import org.banyanstile.server.vm.SlotRequest;

/**
 * A request for a slot that waits at the owner of the pool.
 *
 * @param vm the VM that asks
 * @param request the request
 * @param weight weight of the team
 * @param until time up to which it waits
 * @author banyanstile contributors
 */
record SlotWait(VmId vm, SlotRequest request, int weight, long until) {

}
