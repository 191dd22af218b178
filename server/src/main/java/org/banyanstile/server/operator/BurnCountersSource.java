package org.banyanstile.server.operator;

import java.time.Clock;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

import org.banyanstile.config.api.BurnCause;
import org.banyanstile.config.api.BurnReport;
import org.banyanstile.config.api.BurnSeries;
import org.banyanstile.config.api.BurnWindow;
import org.banyanstile.core.burn.BurnCounters;
import org.banyanstile.core.burn.BurnKey;
import org.banyanstile.core.burn.Cause;
import org.banyanstile.core.common.Ticker;
import org.banyanstile.core.common.VmId;

/**
 * Converts the error-budget counters of this VM to the report of the operator interface.
 *
 * @author banyanstile contributors
 */
public final class BurnCountersSource implements BurnSource {

	private final VmId self;

	private final BurnCounters counters;

	private final Ticker ticker;

	private final Clock clock;

	private BurnCountersSource(VmId self, BurnCounters counters, Ticker ticker, Clock clock) {
		this.self = self;
		this.counters = counters;
		this.ticker = ticker;
		this.clock = clock;
	}

	/**
	 * Creates the source.
	 * @param self this VM
	 * @param counters the counters
	 * @param ticker time source of the counters
	 * @param clock wall clock, for display only
	 * @return the source
	 */
	public static BurnCountersSource create(VmId self, BurnCounters counters, Ticker ticker, Clock clock) {
		return new BurnCountersSource(self, counters, ticker, clock);
	}

	@Override
	public BurnReport report() {
		List<BurnSeries> series = new ArrayList<>();
		for (BurnWindow window : BurnWindow.values()) {
			this.counters.report(org.banyanstile.core.burn.BurnWindow.valueOf(window.name()), this.ticker.nanos())
				.forEach((key, counts) -> {
					if (counts.requests() > 0) {
						series.add(series(window, key, counts.requests(), counts.bad()));
					}
				});
		}
		return new BurnReport(this.self.name(), this.clock.millis(), series);
	}

	private static BurnSeries series(BurnWindow window, BurnKey key, long requests, Map<Cause, Long> bad) {
		Map<BurnCause, Long> causes = new EnumMap<>(BurnCause.class);
		bad.forEach((cause, n) -> {
			if (n > 0) {
				causes.put(BurnCause.valueOf(cause.name()), n);
			}
		});
		return new BurnSeries(window, key.team().name(), key.route(), key.dataCentre().name(), requests, causes);
	}

}
