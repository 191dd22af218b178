package org.banyanstile.tools;

import java.io.InputStream;
import java.io.PrintStream;

import org.banyanstile.config.api.ApiJson;

/**
 * Input and output of a command.
 *
 * @param in standard input
 * @param out standard output, for results
 * @param err standard error, for errors and warnings
 * @param json whether results are printed as JSON
 * @author banyanstile contributors
 */
record Console(InputStream in, PrintStream out, PrintStream err, boolean json) {

	/**
	 * Prints a result.
	 * @param value the result, printed if JSON output was requested
	 * @param text the result as text, printed otherwise
	 */
	void print(Object value, String text) {
		this.out.println(this.json ? ApiJson.writeIndented(value) : text);
	}

}
