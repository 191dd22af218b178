package org.banyanstile.config.json;

import java.util.ArrayList;
import java.util.List;

import org.banyanstile.config.IpPort;
import org.banyanstile.config.VmSettings;

/**
 * Validates the addresses in the settings of a VM.
 *
 * @author banyanstile contributors
 */
final class Addresses {

	static final String ALLOWED = "must be an IP address and a port, for example 127.0.0.1:9101 or [::1]:9101";

	private static final String SCHEME = "http://";

	private Addresses() {
	}

	static List<Problem> check(String file, VmSettings settings) {
		List<Problem> problems = new ArrayList<>();
		check(problems, file, "$.callerAddress", settings.callerAddress());
		check(problems, file, "$.operatorAddress", settings.operatorAddress());
		check(problems, file, "$.vmAddress", settings.vmAddress());
		check(problems, file, "$.tableService", settings.tableService().substring(SCHEME.length()));
		check(problems, file, "$.vmList", settings.vmList().substring(SCHEME.length()));
		for (int i = 0; i < settings.seedVms().size(); i++) {
			check(problems, file, "$.seedVms[" + i + "]", settings.seedVms().get(i));
		}
		distinct(problems, file, "$.operatorAddress", settings.operatorAddress(), settings.callerAddress());
		distinct(problems, file, "$.vmAddress", settings.vmAddress(), settings.callerAddress());
		distinct(problems, file, "$.vmAddress", settings.vmAddress(), settings.operatorAddress());
		return problems;
	}

	private static void check(List<Problem> problems, String file, String path, String address) {
		if (IpPort.parse(address).isEmpty()) {
			problems.add(new Problem(file, path, Values.quote(address), ALLOWED));
		}
	}

	private static void distinct(List<Problem> problems, String file, String path, String address, String other) {
		if (address.equals(other)) {
			problems.add(new Problem(file, path, Values.quote(address),
					"the addresses for callers, operators and VMs must differ"));
		}
	}

}
