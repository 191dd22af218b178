package org.banyanstile.benchmark;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntConsumer;
import java.util.function.Supplier;

/**
 * Measures processor time and memory of work in this process.
 *
 * @author banyanstile contributors
 */
final class Meter {

	private static final int ROUNDS = 7;

	/**
	 * Copies of a structure, so that its size stands out from other changes of the heap.
	 */
	private static final int COPIES = 10;

	private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

	private Meter() {
	}

	/**
	 * Measures the processor time of an operation.
	 * @param count the number of operations per round
	 * @param operation the operation, given a number that increases over all rounds
	 * @return the nanoseconds per operation in the best round; the first rounds are
	 * warm-up
	 */
	static double nanosPerOperation(int count, IntConsumer operation) {
		double best = Double.MAX_VALUE;
		for (int round = 0; round < ROUNDS; round++) {
			long start = THREADS.getCurrentThreadCpuTime();
			for (int i = 0; i < count; i++) {
				operation.accept(round * count + i);
			}
			best = Math.min(best, (double) (THREADS.getCurrentThreadCpuTime() - start) / count);
		}
		return best;
	}

	/**
	 * Measures the heap that a structure retains.
	 * @param structure creates the structure
	 * @return the bytes
	 */
	static long retainedBytes(Supplier<Object> structure) {
		usedAfterCollection();
		long before = usedAfterCollection();
		List<Object> kept = new ArrayList<>();
		for (int i = 0; i < COPIES; i++) {
			kept.add(structure.get());
		}
		long after = usedAfterCollection();
		if (kept.size() != COPIES) {
			throw new IllegalStateException("the structure must stay reachable");
		}
		return Math.max(0, after - before) / COPIES;
	}

	private static long usedAfterCollection() {
		for (int i = 0; i < 3; i++) {
			System.gc();
		}
		Runtime runtime = Runtime.getRuntime();
		return runtime.totalMemory() - runtime.freeMemory();
	}

}
