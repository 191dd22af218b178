package org.banyanstile.server.view;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;

import org.banyanstile.core.replica.ReplicaRow;
import org.banyanstile.server.router.DecisionLog;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link EndpointConfirmation}. The clock of the process stands still unless a
 * test moves it, as it does while a process is suspended.
 *
 * @author banyanstile contributors
 */
class EndpointConfirmationTests {

	private static final int CALLERS = 20;

	private final AtomicLong nanos = new AtomicLong();

	private final Source source = new Source();

	private final FleetView view = FleetView.create(new FleetViewTests.TextDecoder(), this.nanos::get,
			DecisionLog.create());

	private final EndpointConfirmation confirmation = EndpointConfirmation.create(this.view, this.source,
			this.nanos::get, DecisionLog.create());

	private final AtomicInteger polls = new AtomicInteger();

	private boolean confirmWithPeers(boolean current) {
		this.confirmation.askPeers(() -> {
			this.polls.incrementAndGet();
			return current;
		});
		return this.confirmation.confirm();
	}

	// Guards against a VM that was suspended and takes its old copy for the present one.
	@Test
	void copyIsReadAnewAlthoughTheClockOfTheProcessStoodStill() {
		assertThat(this.confirmation.confirm(), is(true));
		this.source.version = 7;
		assertThat(this.confirmation.confirm(), is(true));
		assertThat(this.view.version(FleetTable.ENDPOINTS), is(7L));
		assertThat(this.polls.get(), is(0));
	}

	@Test
	void wholeTableIsReadIfTheStoreHasNoHistory() {
		assertThat(this.confirmation.confirm(), is(true));
		this.source.version = 7;
		this.source.historyLost = true;
		assertThat(this.confirmation.confirm(), is(true));
		assertThat(this.view.version(FleetTable.ENDPOINTS), is(7L));
	}

	@Test
	void otherVmsAreAskedWhileTheStoreDoesNotRespond() {
		assertThat(this.confirmation.confirm(), is(true));
		this.source.down = true;
		assertThat(confirmWithPeers(true), is(true));
		assertThat(confirmWithPeers(false), is(false));
		assertThat(this.polls.get(), is(2));
	}

	@Test
	void storeThatIsDownIsNotAskedForEachRequest() {
		this.source.down = true;
		this.confirmation.confirm();
		int calls = this.source.calls.get();
		this.confirmation.confirm();
		assertThat(this.source.calls.get(), is(calls));
		this.nanos.addAndGet(EndpointConfirmation.STORE_PAUSE_NANOS);
		this.source.down = false;
		assertThat(this.confirmation.confirm(), is(true));
	}

	@Test
	void vmThatKnowsNobodyElseIsNotConfirmedWithoutTheStore() {
		this.source.down = true;
		assertThat(this.confirmation.confirm(), is(false));
	}

	@Test
	void requestsThatComeDuringAReadShareTheNextOne() throws Exception {
		assertThat(this.confirmation.confirm(), is(true));
		CountDownLatch reading = new CountDownLatch(1);
		CountDownLatch release = new CountDownLatch(1);
		this.source.beforeResponse = () -> {
			reading.countDown();
			release.await(10, TimeUnit.SECONDS);
		};
		CompletableFuture<Boolean> first = CompletableFuture.supplyAsync(this.confirmation::confirm);
		assertThat(reading.await(10, TimeUnit.SECONDS), is(true));
		this.nanos.incrementAndGet();
		int calls = this.source.calls.get();
		List<Thread> callers = Stream.generate(() -> new Thread(this.confirmation::confirm)).limit(CALLERS).toList();
		callers.forEach(Thread::start);
		this.nanos.incrementAndGet();
		release.countDown();
		assertThat(first.get(10, TimeUnit.SECONDS), is(true));
		for (Thread caller : callers) {
			caller.join(10_000);
			assertThat(caller.isAlive(), is(false));
		}
		assertThat(this.source.calls.get() - calls <= 2, is(true));
	}

	/**
	 * Store with one row, whose version a test sets.
	 *
	 * @author banyanstile contributors
	 */
	private static final class Source extends EmptyTableSource {

		private final AtomicInteger calls = new AtomicInteger();

		private volatile long version = 1;

		private volatile boolean down;

		private volatile boolean historyLost;

		private volatile Step beforeResponse = () -> {
		};

		@Override
		public TableRead readAll(FleetTable table) throws TableSourceException {
			return read();
		}

		@Override
		public TableRead changes(FleetTable table, long after, Duration wait) throws TableSourceException {
			if (this.historyLost) {
				throw new HistoryLostException("no history");
			}
			return read();
		}

		private TableRead read() throws TableSourceException {
			this.calls.incrementAndGet();
			if (this.down) {
				throw new TableSourceException("the store is down", null);
			}
			try {
				this.beforeResponse.run();
			}
			catch (InterruptedException ex) {
				throw new TableSourceException("interrupted", ex);
			}
			byte[] value = "desk".getBytes(StandardCharsets.UTF_8);
			return new TableRead(List.of(new ReplicaRow("e1", this.version, value)), this.version, this.version);
		}

	}

	/**
	 * A step of a test that may wait.
	 *
	 * @author banyanstile contributors
	 */
	private interface Step {

		void run() throws InterruptedException;

	}

}
