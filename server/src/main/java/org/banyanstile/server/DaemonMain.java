package org.banyanstile.server;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.banyanstile.config.VmSettings;
import org.banyanstile.config.json.ConfigurationException;
import org.banyanstile.config.json.ConfigurationJson;

/**
 * Entry point of the daemon: {@code banyanstiled --settings FILE}.
 *
 * @author banyanstile contributors
 */
public final class DaemonMain {

	private static final int USAGE = 2;

	private static final Logger logger = LogManager.getLogger(DaemonMain.class);

	private DaemonMain() {
	}

	/**
	 * Runs the daemon until it is terminated.
	 * @param args {@code --settings} and the path of the settings file
	 * @throws Exception if the daemon cannot start
	 */
	public static void main(String[] args) throws Exception {
		if (args.length != 2 || !args[0].equals("--settings")) {
			System.err.println("usage: banyanstiled --settings FILE");
			System.exit(USAGE);
		}
		VmSettings settings;
		try {
			settings = ConfigurationJson.readSettings(args[1], Files.readString(Path.of(args[1])));
		}
		catch (ConfigurationException | IOException ex) {
			System.err.println(ex.getMessage());
			System.exit(USAGE);
			return;
		}
		Daemon daemon = Daemon.start(settings);
		Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(daemon), "shutdown"));
		logger.info("VM {} serves callers at {}", settings.vm(), settings.callerAddress());
	}

	private static void stop(Daemon daemon) {
		daemon.shutDown();
		// Log4j's own shutdown hook is disabled, because it would stop logging before
		// the daemon has shut down.
		LogManager.shutdown();
	}

}
