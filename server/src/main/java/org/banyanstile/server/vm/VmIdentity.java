package org.banyanstile.server.vm;

import java.util.HexFormat;

import org.banyanstile.core.common.VmId;

/**
 * Name, address and fleet key of this VM.
 *
 * @param vm name of this VM
 * @param address address at which it accepts connections of other VMs, {@code ip:port}
 * @param fleetKey secret shared by the VMs of the fleet, in hexadecimal
 * @author banyanstile contributors
 */
public record VmIdentity(VmId vm, String address, String fleetKey) {

	private static final int MIN_KEY_BYTES = 16;

	/**
	 * Validates the key.
	 * @param vm name of this VM
	 * @param address address at which it accepts connections of other VMs
	 * @param fleetKey secret shared by the VMs of the fleet, in hexadecimal
	 */
	public VmIdentity {
		if (HexFormat.of().parseHex(fleetKey).length < MIN_KEY_BYTES) {
			throw new IllegalArgumentException("the fleet key is shorter than " + MIN_KEY_BYTES + " bytes");
		}
	}

	byte[] key() {
		return HexFormat.of().parseHex(this.fleetKey);
	}

	/**
	 * Omits the fleet key, so that it is never logged.
	 */
	@Override
	public String toString() {
		return "VmIdentity[vm=" + this.vm + ", address=" + this.address + "]";
	}

}
