package org.banyanstile.emulator.process;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Starts the programs of the project as Java processes.
 *
 * @author banyanstile contributors
 */
public final class Launcher {

	private static final String VERSION = "0.1.0-SNAPSHOT";

	private final List<String> classPath;

	private final Path root;

	private final boolean jars;

	private Launcher(List<String> classPath, Path root, boolean jars) {
		this.classPath = classPath;
		this.root = root;
		this.jars = jars;
	}

	/**
	 * Returns a launcher that runs the packaged daemon and operator program.
	 * @param root root directory of the project
	 * @return the launcher
	 */
	public static Launcher ofJars(Path root) {
		return new Launcher(List.of("-cp", System.getProperty("java.class.path")), root, true);
	}

	/**
	 * Returns a launcher that runs all programs from the class path of this process.
	 * @return the launcher
	 */
	public static Launcher ofClassPath() {
		String path = System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
		return new Launcher(List.of("-cp", path), Path.of(""), false);
	}

	/**
	 * Starts a program.
	 * @param program the program
	 * @param name name of the process
	 * @param log file that receives its output
	 * @param args its arguments
	 * @return the process
	 * @throws IOException if it cannot be started
	 */
	public ChildProcess start(Program program, String name, Path log, List<String> args) throws IOException {
		List<String> command = new ArrayList<>(
				List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-Xmx128m",
						"-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"));
		if (this.jars && !program.module.isEmpty()) {
			command.add("-jar");
			command.add(
					this.root.resolve(program.module + "/target/banyanstile-" + program.module + "-" + VERSION + ".jar")
						.toString());
		}
		else {
			command.addAll(this.classPath);
			command.add(program.mainClass);
		}
		command.addAll(args);
		return ChildProcess.start(name, command, log);
	}

	/**
	 * Program of the project.
	 *
	 * @author banyanstile contributors
	 */
	public enum Program {

		/** Stand-ins and load tool. */
		EMULATOR("", "org.banyanstile.emulator.EmulatorMain"),

		/** The daemon. */
		DAEMON("server", "org.banyanstile.server.DaemonMain"),

		/** The operator program. */
		OPERATOR("tools", "org.banyanstile.tools.Banyanstile"),

		/** Program that prints the configuration. */
		CONFIGURATION("", "org.banyanstile.examples.OrderDeskConfiguration");

		private final String module;

		private final String mainClass;

		Program(String module, String mainClass) {
			this.module = module;
			this.mainClass = mainClass;
		}

	}

}
