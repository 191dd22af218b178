package org.banyanstile.server.operator;

import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.micrometer.core.instrument.MeterRegistry;
import org.banyanstile.config.FleetConfiguration;
import org.banyanstile.config.api.ChangeOutcome;
import org.banyanstile.config.api.ChangeResult;
import org.banyanstile.config.api.CurrentConfiguration;
import org.banyanstile.config.json.ConfigurationException;
import org.banyanstile.config.json.ConfigurationJson;
import org.banyanstile.core.store.StoreException;
import org.jspecify.annotations.Nullable;

/**
 * Handles requests to {@code /operator/v1/config} and below.
 *
 * @author banyanstile contributors
 */
final class ConfigurationRoutes {

	private static final Pattern VERSION = Pattern.compile("\"?([0-9]{1,18})\"?");

	private final ConfigurationService service;

	private final MeterRegistry registry;

	ConfigurationRoutes(ConfigurationService service, MeterRegistry registry) {
		this.service = service;
		this.registry = registry;
	}

	OperatorReply get(@Nullable String version) {
		if (version == null) {
			return OperatorReply.json(200, this.service.current());
		}
		Long number = number(version);
		if (number == null) {
			return OperatorReply.error(400, "invalid_request", "version: " + version + ": must be a whole number");
		}
		try {
			CurrentConfiguration stored = this.service.stored(number);
			return (stored.configuration() != null) ? OperatorReply.json(200, stored)
					: OperatorReply.error(404, "not_found", "version " + number + " is not stored");
		}
		catch (StoreException ex) {
			return OperatorReply.error(503, "unavailable", "the version could not be read: " + ex.getMessage());
		}
	}

	OperatorReply put(@Nullable String ifMatch, String body) {
		Long replaced = (ifMatch != null) ? number(ifMatch) : null;
		if (replaced == null) {
			return OperatorReply.error(428, "invalid_request",
					"the header If-Match must contain the version to replace, or 0 for the first version");
		}
		ChangeResult result = replace(replaced, body);
		this.registry
			.counter("banyanstile.operator.changes", "result", String.valueOf(result.result()).toLowerCase(Locale.ROOT))
			.increment();
		return OperatorReply.json(status(result.result()), result);
	}

	OperatorReply status() {
		return OperatorReply.json(200, this.service.status());
	}

	private ChangeResult replace(long replaced, String body) {
		try {
			FleetConfiguration configuration = ConfigurationJson.readConfiguration("request body", body);
			return this.service.replace(replaced, configuration);
		}
		catch (ConfigurationException ex) {
			return ChangeResult.invalid(this.service.current().version(), ex.problems());
		}
	}

	private static int status(ChangeOutcome outcome) {
		return switch (outcome) {
			case ACCEPTED -> 200;
			case STORED -> 202;
			case CONFLICT -> 409;
			case INVALID -> 422;
			case UNAVAILABLE -> 503;
			case UNKNOWN -> 504;
		};
	}

	private static @Nullable Long number(String text) {
		Matcher matcher = VERSION.matcher(text);
		return matcher.matches() ? Long.valueOf(matcher.group(1)) : null;
	}

}
