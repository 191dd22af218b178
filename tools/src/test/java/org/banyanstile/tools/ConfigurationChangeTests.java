package org.banyanstile.tools;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

import org.banyanstile.config.FleetConfiguration;
import org.banyanstile.config.Limits;
import org.banyanstile.config.Region;
import org.banyanstile.config.api.ApiJson;
import org.banyanstile.config.api.ChangeOutcome;
import org.banyanstile.config.api.ChangeResult;
import org.banyanstile.config.api.CurrentConfiguration;
import org.banyanstile.config.api.RolloutState;
import org.banyanstile.config.api.RolloutStatus;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Tests for {@link ConfigurationChange} against a fake daemon whose replies can be lost.
 *
 * @author banyanstile contributors
 */
class ConfigurationChangeTests {

	private static final FleetConfiguration FIRST = configuration(10);

	private static final FleetConfiguration OURS = configuration(11);

	private static final FleetConfiguration THEIRS = configuration(12);

	private final FakeDaemon daemon = new FakeDaemon();

	private final AtomicLong now = new AtomicLong();

	private final Clock clock = new Clock() {

		@Override
		public long nanos() {
			return ConfigurationChangeTests.this.now.get();
		}

		@Override
		public void sleep(Duration time) {
			ConfigurationChangeTests.this.now.addAndGet(time.toNanos());
			ConfigurationChangeTests.this.daemon.duringSleep.run();
		}

	};

	private static FleetConfiguration configuration(int limit) {
		return FleetConfiguration.builder("d")
			.region(Region.of("r", "a"))
			.limits(Limits.of(limit, limit, limit))
			.build();
	}

	private ChangeResult apply() throws CommandException {
		return ConfigurationChange.create(this.daemon, this.clock, Duration.ofSeconds(10)).apply(1, OURS);
	}

	@Test
	void waitsUntilAccepted() throws Exception {
		this.daemon.polls = 3;
		assertThat(apply(), is(equalTo(ChangeResult.of(ChangeOutcome.ACCEPTED, 2, ""))));
		assertThat(this.daemon.puts, is(1));
	}

	@Test
	void reportsStoredAfterTheTimeout() throws Exception {
		this.daemon.polls = Integer.MAX_VALUE;
		assertThat(apply().result(), is(ChangeOutcome.STORED));
	}

	/**
	 * Guards against a second version, or a false conflict, after the reply to a request
	 * that took effect was lost.
	 */
	@Test
	void aLostReplyIsReadBackAndNotSentAgain() throws Exception {
		this.daemon.beforePut = () -> this.daemon.commit(OURS, true);
		assertThat(apply().result(), is(ChangeOutcome.ACCEPTED));
		assertThat(this.daemon.puts, is(1));
		assertThat(this.daemon.versions, hasSize(2));
	}

	@Test
	void aLostReplyIsReadBackBehindALaterVersion() throws Exception {
		this.daemon.beforePut = () -> {
			this.daemon.commit(OURS, true);
			return this.daemon.commit(THEIRS, true);
		};
		assertThat(apply().result(), is(ChangeOutcome.ACCEPTED));
		assertThat(this.daemon.puts, is(1));
	}

	@Test
	void aLostRequestIsSentAgainOnlyAfterReadingTheOldVersion() throws Exception {
		this.daemon.beforePut = () -> null;
		this.daemon.duringSleep = () -> this.daemon.beforePut = () -> this.daemon.commit(OURS, false);
		assertThat(apply().result(), is(ChangeOutcome.ACCEPTED));
		assertThat(this.daemon.puts, is(2));
		assertThat(this.daemon.versions, hasSize(2));
	}

	/**
	 * Guards against overwriting the change of another operator after a lost reply.
	 */
	@Test
	void aLostReplyBehindAnotherOperatorsVersionIsAConflict() throws Exception {
		this.daemon.beforePut = () -> this.daemon.commit(THEIRS, true);
		ChangeResult result = apply();
		assertThat(result.result(), is(ChangeOutcome.CONFLICT));
		assertThat(result.version(), is(2L));
		assertThat(result.changes().get(0).toString(), is("~ $.limits.maxPromptTokens: 12 -> 11"));
		assertThat(this.daemon.puts, is(1));
	}

	@Test
	void theOutcomeStaysUnknownWhileNoVmAnswers() throws Exception {
		this.daemon.beforePut = () -> {
			this.daemon.down = true;
			return null;
		};
		assertThat(apply().result(), is(ChangeOutcome.UNKNOWN));
		assertThat(this.daemon.puts, is(1));
	}

	@Test
	void refusalsAreNotRepeated() {
		this.daemon.beforePut = () -> new OperatorReply("a", 401, "{\"type\":\"unauthorized\",\"message\":\"\"}");
		assertThrows(RefusedException.class, this::apply);
		assertThat(this.daemon.puts, is(1));
	}

	/**
	 * Fake daemon.
	 */
	private static final class FakeDaemon implements OperatorApi {

		private final List<FleetConfiguration> versions = new ArrayList<>(List.of(FIRST));

		private Supplier<OperatorReply> beforePut = () -> commit(OURS, false);

		private Runnable duringSleep = () -> {
		};

		private int puts;

		private int polls = 1;

		private boolean down;

		private OperatorReply commit(FleetConfiguration configuration, boolean loseReply) {
			this.versions.add(configuration);
			return loseReply ? null : reply(202, ChangeResult.of(ChangeOutcome.STORED, this.versions.size(), ""));
		}

		private static OperatorReply reply(int status, Object body) {
			return new OperatorReply("a", status, ApiJson.write(body));
		}

		@Override
		public OperatorReply get(String path) throws NotReachableException {
			if (this.down) {
				throw new NotReachableException("down");
			}
			int last = this.versions.size();
			if (path.endsWith("/status")) {
				RolloutState state = (--this.polls <= 0) ? RolloutState.ACCEPTED : RolloutState.STORED;
				return reply(200, new RolloutStatus(last, state, 3, 3, List.of()));
			}
			int version = path.contains("=") ? Integer.parseInt(path.substring(path.indexOf('=') + 1)) : last;
			return (version > last) ? reply(404, "")
					: reply(200, new CurrentConfiguration(version, this.versions.get(version - 1)));
		}

		@Override
		public OperatorReply putConfiguration(long replaces, String json) throws OutcomeUnknownException {
			this.puts++;
			OperatorReply reply = this.beforePut.get();
			if (reply == null) {
				throw new OutcomeUnknownException("no reply");
			}
			return reply;
		}

	}

}
