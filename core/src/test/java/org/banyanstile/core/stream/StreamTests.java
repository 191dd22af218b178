package org.banyanstile.core.stream;

import java.util.Optional;

import org.banyanstile.core.common.TeamId;
import org.banyanstile.core.common.VmId;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

/**
 * Tests of the stream directory, the stream registry and the offset check.
 *
 * @author banyanstile contributors
 */
class StreamTests {

	private static final StreamKey KEY = new StreamKey(TeamId.of("team"), "hash");

	private static final VmId VM1 = VmId.of("vm-1");

	private static final VmId VM2 = VmId.of("vm-2");

	private static final long READY = StreamDirectory.ANNOUNCE_NANOS;

	private final StreamDirectory directory = StreamDirectory.takeOver(0);

	/**
	 * Guards against two runs of one request when repeated requests reach two VMs at the
	 * same time.
	 */
	@Test
	void onlyOneOfTwoRepeatsStarts() {
		StreamInfo first = new StreamInfo("r1", VM1, null);
		assertThat(this.directory.open(KEY, first, READY), instanceOf(StreamLookup.NotRunning.class));
		assertThat(this.directory.open(KEY, new StreamInfo("r2", VM2, null), READY),
				equalTo(new StreamLookup.Found(first)));
	}

	/**
	 * Guards against a second run of a stream that the previous owner had recorded.
	 */
	@Test
	void newOwnerAnswersOnlyAfterTheAnnouncements() {
		StreamInfo info = new StreamInfo("r1", VM1, null);
		assertThat(this.directory.open(KEY, info, 0), equalTo(new StreamLookup.NotYetKnown(READY)));
		assertThat(this.directory.announce(KEY, info, 1), is(true));
		assertThat(this.directory.open(KEY, new StreamInfo("r2", VM2, null), 2), equalTo(new StreamLookup.Found(info)));
	}

	/**
	 * Guards against an older connection that takes a stream back or ends it.
	 */
	@Test
	void previousHolderLosesTheStream() {
		StreamInfo info = new StreamInfo("r1", VM1, null);
		this.directory.announce(KEY, info, 0);
		assertThat(this.directory.takeOver(KEY, "other", VM2, 1), equalTo(Optional.empty()));
		assertThat(this.directory.takeOver(KEY, "r1", VM2, 1).orElseThrow(), equalTo(info));
		assertThat(this.directory.announce(KEY, info, 2), is(false));
		this.directory.ended(KEY, VM1);
		assertThat(this.directory.size(), equalTo(1));
		this.directory.expire(1 + StreamDirectory.ENTRY_NANOS);
		assertThat(this.directory.size(), equalTo(0));
	}

	@Test
	void newerConnectionSupersedesTheOlderOne() {
		StreamRegistry<String> registry = StreamRegistry.create();
		StreamInfo info = new StreamInfo("r1", VM1, null);
		StreamRegistry.Registration<String> older = registry.start(KEY, info, "c").current();
		StreamRegistry.Started<String> newer = registry.start(KEY, info, "c");
		assertThat(newer.superseded().orElseThrow(), equalTo(older));
		assertThat(registry.end(older), is(false));
		assertThat(registry.isCurrent(newer.current()), is(true));
		assertThat(registry.supersede(KEY, "r0").isPresent(), is(false));
		assertThat(registry.supersede(KEY, "r1").isPresent(), is(true));
		assertThat(registry.end(newer.current()), is(false));
	}

	/**
	 * Guards against a response with chunks that are lost, repeated or from another
	 * request.
	 */
	@Test
	void chunksAreAcceptedOnlyInOrder() {
		OffsetChecker checker = OffsetChecker.create("r1", 5);
		assertThat(checker.check("r2", 5, 1), equalTo(OffsetChecker.Verdict.FOREIGN));
		assertThat(checker.check("r1", 4, 1), equalTo(OffsetChecker.Verdict.DUPLICATE));
		assertThat(checker.check("r1", 4, 2), equalTo(OffsetChecker.Verdict.GAP));
		assertThat(checker.check("r1", 6, 1), equalTo(OffsetChecker.Verdict.GAP));
		assertThat(checker.check("r1", 5, 2), equalTo(OffsetChecker.Verdict.ACCEPTED));
		assertThat(checker.nextOffset(), equalTo(7L));
	}

}
