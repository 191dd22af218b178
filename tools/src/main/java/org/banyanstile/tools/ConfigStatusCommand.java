package org.banyanstile.tools;

import java.util.Locale;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import org.banyanstile.config.api.RolloutState;
import org.banyanstile.config.api.RolloutStatus;

/**
 * {@code config status}: shows whether the current version is accepted.
 *
 * @author banyanstile contributors
 */
@Parameters(commandDescription = "show whether the current version is accepted; exit code 4 if it is only stored")
final class ConfigStatusCommand extends Command {

	@ParametersDelegate
	private VmOptions vm = new VmOptions();

	@Override
	ExitCode run(Console console) throws CommandException {
		try (HttpOperatorApi api = this.vm.connect(console)) {
			RolloutStatus status = api.get("/operator/v1/config/status").message(RolloutStatus.class);
			console.print(status, text(status));
			return (status.state() != RolloutState.STORED) ? ExitCode.DONE : ExitCode.NOT_YET_ACCEPTED;
		}
	}

	static String text(RolloutStatus status) {
		String missing = status.missing().isEmpty() ? "" : ", missing: " + String.join(", ", status.missing());
		return "version " + status.version() + " " + status.state().name().toLowerCase(Locale.ROOT)
				+ ", acknowledged by " + status.acknowledged() + " of " + status.registered() + " registered VMs"
				+ missing;
	}

}
