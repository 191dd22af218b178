package org.banyanstile.emulator.service;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

/**
 * Options of the plain service stand-in.
 *
 * @author banyanstile contributors
 */
@Parameters(commandDescription = "run a plain service")
public final class ServiceCommand {

	@Parameter(names = "--listen", description = "address as ip:port")
	private String listen = "127.0.0.1:9201";

	@Parameter(names = "--latency-millis", description = "time that each call takes")
	private long latencyMillis = 5;

	String listen() {
		return this.listen;
	}

	long latencyMillis() {
		return this.latencyMillis;
	}

}
