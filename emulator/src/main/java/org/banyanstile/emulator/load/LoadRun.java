package org.banyanstile.emulator.load;

import java.io.PrintStream;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

import org.banyanstile.io.http.HttpClient;

/**
 * A run of the load tool.
 *
 * @author banyanstile contributors
 */
public final class LoadRun implements AutoCloseable {

	private final LoadCommand options;

	private final HttpClient client = HttpClient.create(2);

	private final VmDirectory vms;

	private final RandomGenerator random;

	private final LoadResult result = new LoadResult();

	private final ExecutorService textCallers;

	private final ExecutorService bookingCallers;

	private long started;

	private LoadRun(LoadCommand options) {
		this.options = options;
		this.random = RandomGeneratorFactory.of("L64X128MixRandom").create(options.seed());
		this.vms = new VmDirectory(this.client, options.vms(),
				RandomGeneratorFactory.of("L64X128MixRandom").create(options.seed() + 1));
		this.textCallers = Executors.newFixedThreadPool(options.callers());
		this.bookingCallers = Executors.newFixedThreadPool(options.callers());
	}

	/**
	 * Prepares a run.
	 * @param options addresses, keys and numbers
	 * @return the run
	 */
	public static LoadRun create(LoadCommand options) {
		return new LoadRun(options);
	}

	/**
	 * Runs the load and prints the summary.
	 * @param options addresses, keys and numbers
	 * @param out where to print
	 * @return 0 if all requests were answered, otherwise 1
	 * @throws InterruptedException if interrupted
	 */
	public static int run(LoadCommand options, PrintStream out) throws InterruptedException {
		try (LoadRun run = create(options)) {
			run.startTexts(options.requests());
			run.startBookings(options.bookings());
			run.await(options.requests() + options.bookings());
			run.result().print(out);
			return (run.result().answeredCount() == run.result().total()) ? 0 : 1;
		}
	}

	/**
	 * Queues requests for generated texts.
	 * @param number number of requests
	 */
	public void startTexts(int number) {
		for (int i = 0; i < number; i++) {
			TextRequest request = TextRequest.random(this.started, this.options.promptWords(), this.options.maxTokens(),
					this.random);
			TextCaller caller = new TextCaller(this.client, this.vms, this.options, this.result, request, nextKey());
			submit(this.textCallers, caller::run);
		}
	}

	/**
	 * Queues bookings.
	 * @param number number of bookings
	 */
	public void startBookings(int number) {
		for (int i = 0; i < number; i++) {
			BookingCaller caller = new BookingCaller(this.client, this.vms, this.options, this.result, this.started,
					nextKey());
			submit(this.bookingCallers, caller::run);
		}
	}

	private String nextKey() {
		return this.options.keys().get((int) (this.started++ % this.options.keys().size()));
	}

	private void submit(ExecutorService callers, Call call) {
		callers.execute(() -> {
			try {
				call.run();
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
			catch (RuntimeException ex) {
				this.result.refused(ex.getClass().getSimpleName());
			}
		});
	}

	/**
	 * Waits until a number of requests has ended. Each one ends at the latest when its
	 * caller stops retrying.
	 * @param number the number
	 * @throws InterruptedException if interrupted
	 */
	public void await(int number) throws InterruptedException {
		while (this.result.total() < number) {
			TimeUnit.MILLISECONDS.sleep(20);
		}
	}

	/**
	 * Returns the counts so far.
	 * @return the result
	 */
	public LoadResult result() {
		return this.result;
	}

	@Override
	public void close() {
		this.textCallers.shutdownNow();
		this.bookingCallers.shutdownNow();
		this.client.close();
	}

	/**
	 * A call that blocks.
	 *
	 * @author banyanstile contributors
	 */
	@FunctionalInterface
	private interface Call {

		void run() throws InterruptedException;

	}

}
