package org.banyanstile.tools;

import java.io.InputStream;
import java.io.PrintStream;
import java.util.Map;
import java.util.Objects;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;

/**
 * Main class of the operator binary.
 *
 * @author banyanstile contributors
 */
public final class Banyanstile {

	private static final String EXIT_CODES = """

			Exit codes: 0 done; 1 invalid, refused or conflict; 2 wrong command line;
			3 a VM or the table service did not answer, or the outcome is unknown;
			4 stored but not yet accepted.
			Options go after the command. See docs/operator-cli.md.""";

	private final JCommander root = JCommander.newBuilder()
		.programName("banyanstile")
		.addObject(new CommonOptions())
		.build();

	private Banyanstile() {
		group("config", Map.of("check", new ConfigCheckCommand(), "diff", new ConfigDiffCommand(), "apply",
				new ConfigApplyCommand(), "show", new ConfigShowCommand(), "status", new ConfigStatusCommand()));
		group("key", Map.of("create", new KeyCreateCommand(), "hash", new KeyHashCommand()));
		this.root.addCommand("status", new StatusCommand());
		this.root.addCommand("burn", new BurnCommand());
		this.root.addCommand("trace", new TraceCommand());
		this.root.addCommand("explain", new ExplainCommand());
	}

	/**
	 * Runs one command and ends the process with its exit code.
	 * @param args the command line
	 */
	public static void main(String[] args) {
		System.exit(run(args, System.in, System.out, System.err));
	}

	static int run(String[] args, InputStream in, PrintStream out, PrintStream err) {
		return new Banyanstile().execute(args, in, out, err).code();
	}

	private void group(String name, Map<String, Command> commands) {
		this.root.addCommand(name, new CommandGroup());
		JCommander group = command(this.root, name);
		commands.entrySet()
			.stream()
			.sorted(Map.Entry.comparingByKey())
			.forEach((entry) -> group.addCommand(entry.getKey(), entry.getValue()));
	}

	private ExitCode execute(String[] args, InputStream in, PrintStream out, PrintStream err) {
		try {
			this.root.parse(args);
			JCommander parsed = deepest(this.root);
			CommonOptions options = (CommonOptions) parsed.getObjects().get(0);
			if (options.isHelp()) {
				out.println(usage(parsed));
				return ExitCode.DONE;
			}
			if (!(options instanceof Command command)) {
				err.println("a command is missing" + System.lineSeparator() + usage(parsed));
				return ExitCode.USAGE;
			}
			return command.run(new Console(in, out, err, options.isJson()));
		}
		catch (ParameterException ex) {
			err.println(ex.getMessage());
			return ExitCode.USAGE;
		}
		catch (CommandException ex) {
			err.println(ex.getMessage());
			return ex.exitCode();
		}
	}

	private static JCommander deepest(JCommander commander) {
		String name = commander.getParsedCommand();
		return (name != null) ? deepest(command(commander, name)) : commander;
	}

	private static JCommander command(JCommander parent, String name) {
		return Objects.requireNonNull(parent.getCommands().get(name), name);
	}

	private static String usage(JCommander commander) {
		StringBuilder text = new StringBuilder();
		commander.getUsageFormatter().usage(text);
		return text + EXIT_CODES;
	}

}
