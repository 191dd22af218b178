package org.banyanstile.emulator;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import org.banyanstile.emulator.engine.EngineCommand;
import org.banyanstile.emulator.engine.EngineServer;
import org.banyanstile.emulator.load.LoadCommand;
import org.banyanstile.emulator.load.LoadRun;
import org.banyanstile.emulator.platform.PlatformCommand;
import org.banyanstile.emulator.platform.PlatformServer;
import org.banyanstile.emulator.service.ServiceCommand;
import org.banyanstile.emulator.service.ServiceServer;

/**
 * Runs one of the stand-ins or the load tool.
 *
 * @author banyanstile contributors
 */
public final class EmulatorMain {

	private EmulatorMain() {
	}

	/**
	 * Runs the command.
	 * @param args the command and its options
	 * @throws Exception if the command fails
	 */
	public static void main(String[] args) throws Exception {
		PlatformCommand platform = new PlatformCommand();
		EngineCommand engine = new EngineCommand();
		ServiceCommand service = new ServiceCommand();
		LoadCommand load = new LoadCommand();
		JCommander commander = JCommander.newBuilder()
			.programName("banyanstile-emulator")
			.addCommand("platform", platform)
			.addCommand("engine", engine)
			.addCommand("service", service)
			.addCommand("load", load)
			.build();
		String command = parse(commander, args);
		switch (command) {
			case "platform" -> ready(PlatformServer.start(platform).address());
			case "engine" -> ready(EngineServer.start(engine).address());
			case "service" -> ready(ServiceServer.start(service).address());
			case "load" -> System.exit(LoadRun.run(load, System.out));
			default -> {
				commander.usage();
				System.exit(2);
			}
		}
	}

	private static String parse(JCommander commander, String[] args) {
		try {
			commander.parse(args);
			return String.valueOf(commander.getParsedCommand());
		}
		catch (ParameterException ex) {
			System.err.println(ex.getMessage());
			return "";
		}
	}

	private static void ready(String address) {
		System.out.println("listening on " + address);
	}

}
