package org.banyanstile.core.common;

import java.util.regex.Pattern;

/**
 * Rule for the names of VMs, data centres, teams and endpoints.
 *
 * @author banyanstile contributors
 */
final class Names {

	/**
	 * Names are parts of row keys and partition names, so the separator {@code /} is not
	 * allowed in them.
	 */
	private static final Pattern VALID = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");

	private Names() {
	}

	static void requireValid(String name) {
		if (!VALID.matcher(name).matches()) {
			throw new IllegalArgumentException("invalid name '" + name + "', must match " + VALID.pattern());
		}
	}

}
