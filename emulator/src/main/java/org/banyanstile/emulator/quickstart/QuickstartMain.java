package org.banyanstile.emulator.quickstart;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import org.banyanstile.emulator.load.LoadCommand;
import org.banyanstile.emulator.load.LoadRun;
import org.banyanstile.emulator.process.Deployment;
import org.banyanstile.emulator.process.Launcher;
import org.banyanstile.io.http.HttpException;

/**
 * Starts a small deployment, runs a verified load during which a VM is killed, and prints
 * how many requests were answered.
 *
 * @author banyanstile contributors
 */
public final class QuickstartMain {

	private QuickstartMain() {
	}

	/**
	 * Runs the quickstart.
	 * @param args its options
	 * @throws Exception if the deployment cannot be started
	 */
	public static void main(String[] args) throws Exception {
		QuickstartOptions options = new QuickstartOptions();
		JCommander commander = JCommander.newBuilder().programName("quickstart").addObject(options).build();
		try {
			commander.parse(args);
		}
		catch (ParameterException ex) {
			System.err.println(ex.getMessage());
			System.exit(2);
		}
		if (options.isHelp()) {
			commander.usage();
			return;
		}
		Path root = Path.of(options.root());
		int status;
		Deployment deployment = Deployment.create(Launcher.ofJars(root), root.resolve("emulator/target/quickstart"));
		// The hook covers SIGINT and SIGTERM as well.
		Runtime.getRuntime().addShutdownHook(new Thread(deployment::close, "cleanup"));
		try {
			status = run(options, new QuickstartDeployment(deployment));
		}
		catch (IOException | HttpException | IllegalStateException ex) {
			System.out.println("quickstart: failed: " + ex.getMessage());
			status = 1;
		}
		System.exit(status);
	}

	private static int run(QuickstartOptions options, QuickstartDeployment quickstart)
			throws IOException, InterruptedException, HttpException {
		quickstart.start();
		System.out.println("deployment is ready");
		int total = options.texts() + options.bookings();
		int answered;
		try (LoadRun load = LoadRun.create(LoadCommand.of(quickstart.callerAddresses(), quickstart.keys()))) {
			// No booking may be in flight when the VM is killed: its correct outcome
			// would be "unknown", which does not count as answered.
			load.startBookings(options.bookings() / 2);
			load.await(options.bookings() / 2);
			load.startTexts(options.texts());
			load.await((options.bookings() + options.texts()) / 2);
			quickstart.replaceVm();
			load.startBookings(options.bookings() - options.bookings() / 2);
			load.await(total);
			load.result().print(System.out);
			answered = load.result().answeredCount();
		}
		int repeated = quickstart.repeatedExecutions();
		int leaked = quickstart.leakedKeys();
		System.out.println("bookings executed more than once " + repeated + ", keys seen by endpoints " + leaked);
		int right = answered - repeated;
		if (options.isKeep()) {
			quickstart.printSamples();
		}
		System.out.println("quickstart: " + right + " of " + total + " requests answered once and completely");
		if (options.isKeep()) {
			new CountDownLatch(1).await();
		}
		return (right == total && leaked == 0) ? 0 : 1;
	}

}
