package org.banyanstile.tools;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;

/**
 * Options that all commands share.
 *
 * @author banyanstile contributors
 */
class CommonOptions {

	@Parameter(names = "--help", help = true, description = "show this text")
	private boolean help;

	@Parameter(names = "--output", description = "text or json")
	private String output = "text";

	boolean isHelp() {
		return this.help;
	}

	boolean isJson() {
		if (!"json".equals(this.output) && !"text".equals(this.output)) {
			throw new ParameterException("--output: must be text or json");
		}
		return "json".equals(this.output);
	}

}
