package org.banyanstile.config;

import java.time.Duration;
import java.util.List;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonInclude;
import org.jspecify.annotations.Nullable;

/**
 * Settings of one VM, read once when the daemon starts.
 *
 * @param vm name of the VM
 * @param dataCentre data centre in which it runs
 * @param callerAddress address for callers as {@code ip:port}
 * @param operatorAddress address for operators as {@code ip:port}
 * @param vmAddress address for other VMs as {@code ip:port}
 * @param tableService base URL of the table service
 * @param vmList base URL of the platform's list of VMs
 * @param seedVms {@code vmAddress} of VMs to ask while the table service is down
 * @param fleetKey secret shared by the VMs of the fleet, in hexadecimal
 * @param operatorTokenHash SHA-256 of the operators' bearer token, in hexadecimal
 * @param vmSlots number of VM slots, the same on all VMs
 * @param workers number of worker threads for requests
 * @param shutdownWindowMillis how long a VM that shuts down continues to accept requests,
 * or {@code null} for 10 s, the time for which callers may cache a list of VMs
 * @author banyanstile contributors
 */
public record VmSettings(String vm, String dataCentre, String callerAddress, String operatorAddress, String vmAddress,
		String tableService, String vmList, List<String> seedVms, String fleetKey, String operatorTokenHash,
		int vmSlots, int workers, @JsonInclude(JsonInclude.Include.NON_NULL) @Nullable Integer shutdownWindowMillis) {

	/**
	 * Longest time for which callers may cache a list of VMs.
	 */
	private static final Duration DEFAULT_SHUTDOWN_WINDOW = Duration.ofSeconds(10);

	/**
	 * Copies the list.
	 * @param vm name of the VM
	 * @param dataCentre data centre in which it runs
	 * @param callerAddress address for callers
	 * @param operatorAddress address for operators
	 * @param vmAddress address for other VMs
	 * @param tableService base URL of the table service
	 * @param vmList base URL of the platform's list of VMs
	 * @param seedVms addresses of other VMs
	 * @param fleetKey secret shared by the VMs of the fleet
	 * @param operatorTokenHash SHA-256 of the operators' bearer token
	 * @param vmSlots number of VM slots
	 * @param workers number of worker threads
	 * @param shutdownWindowMillis how long a VM that shuts down continues to accept
	 * requests
	 */
	@JsonCreator
	public VmSettings {
		seedVms = List.copyOf(seedVms);
	}

	/**
	 * Creates settings with the default shutdown window.
	 * @param vm name of the VM
	 * @param dataCentre data centre in which it runs
	 * @param callerAddress address for callers
	 * @param operatorAddress address for operators
	 * @param vmAddress address for other VMs
	 * @param tableService base URL of the table service
	 * @param vmList base URL of the platform's list of VMs
	 * @param seedVms addresses of other VMs
	 * @param fleetKey secret shared by the VMs of the fleet
	 * @param operatorTokenHash hash of the operators' bearer token
	 * @param vmSlots number of VM slots
	 * @param workers number of worker threads
	 */
	public VmSettings(String vm, String dataCentre, String callerAddress, String operatorAddress, String vmAddress,
			String tableService, String vmList, List<String> seedVms, String fleetKey, String operatorTokenHash,
			int vmSlots, int workers) {
		this(vm, dataCentre, callerAddress, operatorAddress, vmAddress, tableService, vmList, seedVms, fleetKey,
				operatorTokenHash, vmSlots, workers, null);
	}

	/**
	 * Returns how long a VM that shuts down continues to accept requests.
	 * @return the time, 10 s unless set
	 */
	public Duration shutdownWindow() {
		Integer millis = this.shutdownWindowMillis;
		return (millis != null) ? Duration.ofMillis(millis) : DEFAULT_SHUTDOWN_WINDOW;
	}

	/**
	 * Leaves out the fleet key and the token hash, so that neither reaches a log.
	 */
	@Override
	public String toString() {
		return "VmSettings[vm=" + this.vm + ", dataCentre=" + this.dataCentre + ", callerAddress=" + this.callerAddress
				+ ", operatorAddress=" + this.operatorAddress + ", vmAddress=" + this.vmAddress + ", vmSlots="
				+ this.vmSlots + "]";
	}

}
