package org.banyanstile.tools;

import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import org.banyanstile.config.api.BurnReport;
import org.banyanstile.tools.burn.BurnPage;
import org.banyanstile.tools.burn.BurnSummary;
import org.banyanstile.tools.burn.BurnTable;
import org.jspecify.annotations.Nullable;

/**
 * {@code burn}: adds up the error-budget counters of several VMs and reports the causes
 * of budget use.
 *
 * @author banyanstile contributors
 */
@Parameters(commandDescription = "report the use of error budget, added up over all named VMs")
final class BurnCommand extends Command {

	@Parameter(names = "--html", description = "also write the report with plots to this file")
	private @Nullable String html;

	@ParametersDelegate
	private VmOptions vm = new VmOptions();

	@Override
	ExitCode run(Console console) throws CommandException {
		List<BurnReport> reports = new ArrayList<>();
		List<String> missing = new ArrayList<>();
		try (HttpOperatorApi api = this.vm.connect(console)) {
			for (String address : api.addresses()) {
				try {
					reports.add(api.getFrom(address, "/operator/v1/burn").message(BurnReport.class));
				}
				catch (NotReachableException ex) {
					missing.add(String.valueOf(ex.getMessage()));
				}
			}
		}
		if (reports.isEmpty()) {
			throw new NotReachableException(String.join("; ", missing));
		}
		missing.forEach((message) -> console.err().println("not in the report: " + message));
		print(console, BurnSummary.of(reports), missing);
		return missing.isEmpty() ? ExitCode.DONE : ExitCode.NOT_REACHABLE;
	}

	private void print(Console console, BurnSummary summary, List<String> missing) throws UsageException {
		if (this.html != null) {
			Files.write(this.html, BurnPage.render(summary, missing));
		}
		console.print(summary.lines(), BurnTable.render(summary));
	}

}
