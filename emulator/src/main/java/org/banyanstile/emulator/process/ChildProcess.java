package org.banyanstile.emulator.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A process that this process started and signals by its identifier.
 *
 * @author banyanstile contributors
 */
public final class ChildProcess {

	private static final int EXIT_SECONDS = 10;

	private final String name;

	private final Process process;

	private final Path log;

	private ChildProcess(String name, Process process, Path log) {
		this.name = name;
		this.process = process;
		this.log = log;
	}

	static ChildProcess start(String name, List<String> command, Path log) throws IOException {
		Process process = new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(log.toFile()).start();
		return new ChildProcess(name, process, log);
	}

	/**
	 * Returns the name.
	 * @return the name
	 */
	public String name() {
		return this.name;
	}

	/**
	 * Returns the process identifier.
	 * @return the identifier
	 */
	public long pid() {
		return this.process.pid();
	}

	/**
	 * Returns whether the process runs.
	 * @return whether it runs
	 */
	public boolean isAlive() {
		return this.process.isAlive();
	}

	/**
	 * Ends the process at once by SIGKILL and waits for its end.
	 * @throws InterruptedException if interrupted
	 */
	public void kill() throws InterruptedException {
		this.process.destroyForcibly().waitFor(EXIT_SECONDS, TimeUnit.SECONDS);
	}

	/**
	 * Asks the process to shut down by SIGTERM.
	 */
	public void terminate() {
		this.process.destroy();
	}

	/**
	 * Suspends the process by SIGSTOP.
	 * @throws IOException if the signal cannot be sent
	 * @throws InterruptedException if interrupted
	 */
	public void pause() throws IOException, InterruptedException {
		signal("STOP");
	}

	/**
	 * Resumes the process by SIGCONT.
	 * @throws IOException if the signal cannot be sent
	 * @throws InterruptedException if interrupted
	 */
	public void resume() throws IOException, InterruptedException {
		signal("CONT");
	}

	private void signal(String signal) throws IOException, InterruptedException {
		int status = new ProcessBuilder("kill", "-" + signal, String.valueOf(pid())).start().waitFor();
		if (status != 0) {
			throw new IOException("signal " + signal + " was not delivered to " + this.name);
		}
	}

	/**
	 * Waits for the end of the process.
	 * @param seconds longest time to wait
	 * @return the exit status
	 * @throws InterruptedException if interrupted
	 */
	public int awaitExit(int seconds) throws InterruptedException {
		if (!this.process.waitFor(seconds, TimeUnit.SECONDS)) {
			throw new IllegalStateException(this.name + " did not exit in " + seconds + " s");
		}
		return this.process.exitValue();
	}

	/**
	 * Returns what the process has printed.
	 * @return the text
	 * @throws IOException if the file cannot be read
	 */
	public String output() throws IOException {
		return Files.readString(this.log);
	}

}
