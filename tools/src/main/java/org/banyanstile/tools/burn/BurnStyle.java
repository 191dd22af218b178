package org.banyanstile.tools.burn;

import java.util.Locale;

import org.banyanstile.config.api.BurnCause;

/**
 * Colours of the causes, distinguishable with the common kinds of colour blindness.
 *
 * @author banyanstile contributors
 */
final class BurnStyle {

	private BurnStyle() {
	}

	static String cssClass(BurnCause cause) {
		return cause.name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

	static String colour(BurnCause cause) {
		return switch (cause) {
			case REFUSED_WITHIN_RATE -> "#0072b2";
			case LATE_FIRST_TOKEN -> "#e69f00";
			case SLOW_DECODE -> "#009e73";
			case WASTED_PREFILL -> "#cc79a7";
			case LOST_ANSWER -> "#d55e00";
		};
	}

}
