package org.banyanstile.core.burn;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * Counters of one series in all windows. Not safe for use by several threads.
 *
 * @author banyanstile contributors
 */
final class BurnSeries {

	private static final int COLUMNS = Cause.values().length + 1;

	private final Ring[] rings;

	BurnSeries(long now) {
		BurnWindow[] windows = BurnWindow.values();
		this.rings = new Ring[windows.length];
		for (int i = 0; i < windows.length; i++) {
			this.rings[i] = new Ring(windows[i], now);
		}
	}

	void count(@Nullable Cause cause, long now) {
		for (Ring ring : this.rings) {
			ring.advance(now);
			ring.counts[ring.base()]++;
		}
		if (cause != null) {
			event(cause, now);
		}
	}

	void event(Cause cause, long now) {
		for (Ring ring : this.rings) {
			ring.advance(now);
			ring.counts[ring.base() + 1 + cause.ordinal()]++;
		}
	}

	BurnReport report(BurnWindow window, long now) {
		Ring ring = this.rings[window.ordinal()];
		ring.advance(now);
		long requests = 0;
		Map<Cause, Long> bad = new EnumMap<>(Cause.class);
		for (int i = 0; i < ring.counts.length; i += COLUMNS) {
			requests += ring.counts[i];
			for (Cause cause : Cause.values()) {
				bad.merge(cause, (long) ring.counts[i + 1 + cause.ordinal()], Long::sum);
			}
		}
		return new BurnReport(requests, bad);
	}

	private static final class Ring {

		private final BurnWindow window;

		private final int[] counts;

		private long bucket;

		private Ring(BurnWindow window, long now) {
			this.window = window;
			this.counts = new int[window.buckets() * COLUMNS];
			this.bucket = Math.floorDiv(now, window.bucketNanos());
		}

		private int base() {
			return (int) Math.floorMod(this.bucket, (long) this.window.buckets()) * COLUMNS;
		}

		private void advance(long now) {
			long current = Math.floorDiv(now, this.window.bucketNanos());
			long steps = Math.min(current - this.bucket, this.window.buckets());
			for (long i = 0; i < steps; i++) {
				this.bucket = current - steps + 1 + i;
				Arrays.fill(this.counts, base(), base() + COLUMNS, 0);
			}
		}

	}

}
