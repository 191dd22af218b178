package org.banyanstile.server.view;

/**
 * Row of a registered VM.
 *
 * @param vm name of the VM
 * @param peerAddress its address for other VMs
 * @param version version of the row
 * @author banyanstile contributors
 */
public record VmRow(String vm, String peerAddress, long version) {

}
