package org.banyanstile.tools;

import java.time.Duration;

import org.banyanstile.config.FleetConfiguration;
import org.banyanstile.config.api.ChangeOutcome;
import org.banyanstile.config.api.ChangeResult;
import org.banyanstile.config.api.CurrentConfiguration;
import org.banyanstile.config.api.RolloutState;
import org.banyanstile.config.api.RolloutStatus;
import org.banyanstile.config.diff.ConfigurationDifference;
import org.banyanstile.config.json.ConfigurationJson;

/**
 * Replaces the configuration once. After a lost reply it reads the new version back and
 * resends the request only if the old version is still the current one. Both requests
 * name the version that they replace, so at most one can take effect.
 *
 * @author banyanstile contributors
 */
final class ConfigurationChange {

	private static final Duration POLL_INTERVAL = Duration.ofMillis(250);

	private static final String CONFIG = "/operator/v1/config";

	private static final int OK = 200;

	private static final int NOT_FOUND = 404;

	private static final int LAST_CLIENT_ERROR = 499;

	private final OperatorApi api;

	private final Clock clock;

	private final Duration timeout;

	private ConfigurationChange(OperatorApi api, Clock clock, Duration timeout) {
		this.api = api;
		this.clock = clock;
		this.timeout = timeout;
	}

	static ConfigurationChange create(OperatorApi api, Clock clock, Duration timeout) {
		return new ConfigurationChange(api, clock, timeout);
	}

	/**
	 * Replaces the configuration and waits until the new version is accepted.
	 * @param replaces version to replace
	 * @param configuration the new configuration
	 * @return the outcome
	 * @throws NotReachableException if no VM accepted a connection
	 * @throws RefusedException if the daemon refused the request
	 */
	ChangeResult apply(long replaces, FleetConfiguration configuration) throws NotReachableException, RefusedException {
		long deadline = this.clock.nanos() + this.timeout.toNanos();
		ChangeResult result = put(replaces, configuration);
		while (result.result() == ChangeOutcome.UNKNOWN && this.clock.nanos() - deadline < 0) {
			this.clock.sleep(POLL_INTERVAL);
			result = readBack(replaces, configuration, result);
		}
		return (result.result() == ChangeOutcome.STORED) ? awaitAcceptance(result, deadline) : result;
	}

	private ChangeResult put(long replaces, FleetConfiguration configuration)
			throws NotReachableException, RefusedException {
		try {
			OperatorReply reply = this.api.putConfiguration(replaces, ConfigurationJson.write(configuration));
			return result(reply, replaces);
		}
		catch (OutcomeUnknownException ex) {
			return ChangeResult.of(ChangeOutcome.UNKNOWN, replaces + 1, String.valueOf(ex.getMessage()));
		}
	}

	private static ChangeResult result(OperatorReply reply, long replaces) throws RefusedException {
		try {
			ChangeResult result = reply.read(ChangeResult.class);
			if (result.result() != null) {
				return result;
			}
		}
		catch (RefusedException ex) {
			if (reply.status() <= LAST_CLIENT_ERROR) {
				throw ex;
			}
		}
		if (reply.status() <= LAST_CLIENT_ERROR) {
			throw new RefusedException(reply.error());
		}
		// A server error without an outcome does not show whether the write was sent.
		return ChangeResult.of(ChangeOutcome.UNKNOWN, replaces + 1, reply.error());
	}

	private ChangeResult readBack(long replaces, FleetConfiguration configuration, ChangeResult unknown)
			throws RefusedException {
		try {
			OperatorReply stored = this.api.get(CONFIG + "?version=" + (replaces + 1));
			if (stored.status() == OK) {
				return compare(replaces + 1, stored.message(CurrentConfiguration.class), configuration);
			}
			if (stored.status() == NOT_FOUND && currentVersion() == replaces) {
				return put(replaces, configuration);
			}
			return unknown;
		}
		catch (NotReachableException ex) {
			return unknown;
		}
	}

	private ChangeResult compare(long version, CurrentConfiguration stored, FleetConfiguration configuration)
			throws NotReachableException, RefusedException {
		if (configuration.equals(stored.configuration())) {
			return ChangeResult.of(ChangeOutcome.STORED, version, "");
		}
		CurrentConfiguration current = this.api.get(CONFIG).message(CurrentConfiguration.class);
		FleetConfiguration other = (current.configuration() != null) ? current.configuration() : configuration;
		return ChangeResult.conflict(current.version(), ConfigurationDifference.between(other, configuration));
	}

	private long currentVersion() throws NotReachableException, RefusedException {
		return this.api.get(CONFIG).message(CurrentConfiguration.class).version();
	}

	private ChangeResult awaitAcceptance(ChangeResult stored, long deadline) throws RefusedException {
		String last = "";
		while (this.clock.nanos() - deadline < 0) {
			try {
				RolloutStatus status = this.api.get(CONFIG + "/status").message(RolloutStatus.class);
				if (status.version() >= stored.version() && status.state() == RolloutState.ACCEPTED) {
					return ChangeResult.of(ChangeOutcome.ACCEPTED, stored.version(), "");
				}
				last = ConfigStatusCommand.text(status);
			}
			catch (NotReachableException ex) {
				last = String.valueOf(ex.getMessage());
			}
			this.clock.sleep(POLL_INTERVAL);
		}
		return ChangeResult.of(ChangeOutcome.STORED, stored.version(),
				"not yet accepted, check again with 'config status': " + last);
	}

}
