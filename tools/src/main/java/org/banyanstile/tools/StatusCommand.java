package org.banyanstile.tools;

import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import org.banyanstile.config.api.VmStatus;

/**
 * {@code status}: shows the state of each named VM.
 *
 * @author banyanstile contributors
 */
@Parameters(commandDescription = "show the state of each named VM; exit code 3 if one did not answer")
final class StatusCommand extends Command {

	private static final String FORMAT = "%-21s %-12s %-12s %-9s %-7s %7s %8s %5s %8s %9s %5s  %s%n";

	@ParametersDelegate
	private VmOptions vm = new VmOptions();

	@Override
	ExitCode run(Console console) throws CommandException {
		List<VmStatus> found = new ArrayList<>();
		StringBuilder text = new StringBuilder(String.format(FORMAT, "ADDRESS", "VM", "DATA CENTRE", "STATE", "SERVING",
				"CONFIG", "STORE ms", "SLOT", "REQUESTS", "LIVE/REG", "OWNS", "REASON"));
		boolean all = true;
		try (HttpOperatorApi api = this.vm.connect(console)) {
			for (String address : api.addresses()) {
				try {
					VmStatus status = api.getFrom(address, "/operator/v1/status").message(VmStatus.class);
					found.add(status);
					text.append(row(address, status));
				}
				catch (NotReachableException ex) {
					all = false;
					console.err().println(ex.getMessage());
				}
			}
		}
		console.print(found, text.toString().stripTrailing());
		return all ? ExitCode.DONE : ExitCode.NOT_REACHABLE;
	}

	private static String row(String address, VmStatus status) {
		return String.format(FORMAT, address, status.vm(), status.dataCentre(), status.state(),
				status.serving() ? "yes" : "no", status.configVersion(), status.storeAgeMillis(), status.slot(),
				status.runningRequests(), status.liveVms() + "/" + status.registeredVms(), status.partitions().size(),
				status.reason());
	}

}
