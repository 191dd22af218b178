package org.banyanstile.emulator.quickstart;

import com.beust.jcommander.Parameter;

/**
 * Options of the quickstart.
 *
 * @author banyanstile contributors
 */
final class QuickstartOptions {

	@Parameter(names = "--keep", description = "leave the deployment running until interrupted")
	private boolean keep;

	@Parameter(names = "--texts", description = "number of generated texts")
	private int texts = 120;

	@Parameter(names = "--bookings", description = "number of bookings")
	private int bookings = 120;

	@Parameter(names = "--root", description = "root directory of the project")
	private String root = ".";

	@Parameter(names = "--help", help = true, description = "show this text")
	private boolean help;

	boolean isKeep() {
		return this.keep;
	}

	int texts() {
		return this.texts;
	}

	int bookings() {
		return this.bookings;
	}

	String root() {
		return this.root;
	}

	boolean isHelp() {
		return this.help;
	}

}
