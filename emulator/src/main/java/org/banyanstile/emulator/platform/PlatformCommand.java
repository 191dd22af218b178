package org.banyanstile.emulator.platform;

import java.util.concurrent.TimeUnit;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

/**
 * Options of the platform stand-in.
 *
 * @author banyanstile contributors
 */
@Parameters(commandDescription = "run the table service and the VM list")
public final class PlatformCommand {

	@Parameter(names = "--listen", description = "address as ip:port")
	private String listen = "127.0.0.1:9000";

	@Parameter(names = "--writes-per-second", description = "limit of transactions a second")
	private int writesPerSecond = 400;

	@Parameter(names = "--reads-per-second", description = "limit of reads and scans a second")
	private int readsPerSecond = 2000;

	@Parameter(names = "--list-lag-millis", description = "time until the VM list shows a change")
	private long listLagMillis = 3000;

	String listen() {
		return this.listen;
	}

	int writesPerSecond() {
		return this.writesPerSecond;
	}

	int readsPerSecond() {
		return this.readsPerSecond;
	}

	long listLagNanos() {
		return TimeUnit.MILLISECONDS.toNanos(this.listLagMillis);
	}

}
