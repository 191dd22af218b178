package org.banyanstile.config.json;

import java.util.List;
import java.util.stream.Collectors;

/**
 * A configuration or a settings file is not valid.
 *
 * @author banyanstile contributors
 */
public final class ConfigurationException extends Exception {

	private static final long serialVersionUID = 1L;

	private final transient List<Problem> problems;

	/**
	 * Creates the exception.
	 * @param problems what is wrong, at least one
	 */
	public ConfigurationException(List<Problem> problems) {
		super(problems.stream().map(Problem::toString).collect(Collectors.joining("\n")));
		this.problems = List.copyOf(problems);
	}

	/**
	 * Returns what is wrong.
	 * @return the problems, at least one
	 */
	public List<Problem> problems() {
		return this.problems;
	}

}
