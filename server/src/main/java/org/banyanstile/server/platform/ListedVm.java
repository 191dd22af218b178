package org.banyanstile.server.platform;

import org.banyanstile.core.common.VmId;

/**
 * Entry of the platform's VM list.
 *
 * @param vm name of the VM
 * @param address address of the VM
 * @param leaving whether the platform is about to stop it
 * @author banyanstile contributors
 */
public record ListedVm(VmId vm, String address, boolean leaving) {

}
