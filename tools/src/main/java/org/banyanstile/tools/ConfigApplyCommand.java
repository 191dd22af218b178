package org.banyanstile.tools;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import org.banyanstile.config.FleetConfiguration;
import org.banyanstile.config.api.ChangeResult;
import org.banyanstile.config.json.ConfigurationWarnings;

/**
 * {@code config apply}: replaces the configuration and waits until the new version is
 * accepted.
 *
 * @author banyanstile contributors
 */
@Parameters(commandDescription = "replace the configuration and wait until the new version is accepted")
final class ConfigApplyCommand extends Command {

	@Parameter(description = "<file>, - is standard input", required = true)
	private List<String> files = new ArrayList<>();

	/**
	 * There is no default: a default of "the current version" would silently overwrite
	 * the change that another operator made since the file was written.
	 */
	@Parameter(names = "--replaces", required = true,
			description = "version that the file was made from, as 'config show' printed it; 0 for the first one")
	private long replaces;

	@Parameter(names = "--timeout", description = "longest time in seconds to wait for acceptance")
	private int timeoutSeconds = 30;

	@ParametersDelegate
	private VmOptions vm = new VmOptions();

	@Override
	ExitCode run(Console console) throws CommandException {
		if (this.files.size() != 1) {
			throw new UsageException("config apply needs one file");
		}
		FleetConfiguration configuration = Files.readConfiguration(console, this.files.get(0));
		ConfigurationWarnings.of(this.files.get(0), configuration)
			.forEach((warning) -> console.err().println("warning: " + warning));
		try (HttpOperatorApi api = this.vm.connect(console)) {
			ChangeResult result = ConfigurationChange
				.create(api, Clock.system(), Duration.ofSeconds(this.timeoutSeconds))
				.apply(this.replaces, configuration);
			console.print(result, text(result));
			return switch (result.result()) {
				case ACCEPTED -> ExitCode.DONE;
				case STORED -> ExitCode.NOT_YET_ACCEPTED;
				case CONFLICT, INVALID -> ExitCode.REFUSED;
				case UNAVAILABLE, UNKNOWN -> ExitCode.NOT_REACHABLE;
			};
		}
	}

	private static String text(ChangeResult result) {
		StringBuilder text = new StringBuilder(result.result().name().toLowerCase(Locale.ROOT)).append(": version ")
			.append(result.version());
		if (!result.message().isEmpty()) {
			text.append("; ").append(result.message());
		}
		result.changes().forEach((change) -> text.append('\n').append(change));
		result.problems().forEach((problem) -> text.append('\n').append(problem));
		return text.toString();
	}

}
