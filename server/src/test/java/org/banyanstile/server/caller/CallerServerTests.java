package org.banyanstile.server.caller;

import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.banyanstile.core.common.DataCentreId;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link CallerServer} whose configuration cannot be read.
 *
 * @author banyanstile contributors
 */
class CallerServerTests {

	private static final int TIMEOUT_MILLIS = 3000;

	private final RequestServices services = new RequestServices(DataCentreId.of("dc-a"), new FailingConfiguration(),
			() -> true, null, null, null, null, null, null, null, null, null, null, null, null, null);

	private final CallerServer server = CallerServer.start(new InetSocketAddress("127.0.0.1", 0), 2, this.services,
			List::of);

	@AfterEach
	void stop() {
		this.server.close();
	}

	/**
	 * Guards against an exchange that stays open after an error of memory (CONFIG).
	 */
	@Test
	void exhaustedMemoryEndsTheExchange() throws Exception {
		try (Socket caller = new Socket("127.0.0.1", this.server.port())) {
			caller.setSoTimeout(TIMEOUT_MILLIS);
			caller.getOutputStream()
				.write("POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
					.getBytes(StandardCharsets.ISO_8859_1));
			assertThat("end of the connection", caller.getInputStream().read(), is(-1));
		}
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
		while (this.server.running() > 0 && System.nanoTime() < end) {
			Thread.onSpinWait();
		}
		assertThat("running requests", this.server.running(), is(0));
	}

	/**
	 * Configuration for which there is no memory.
	 *
	 * @author banyanstile contributors
	 */
	private static final class FailingConfiguration implements ConfigurationView {

		@Override
		public ServingConfiguration current() {
			throw new OutOfMemoryError("thrown by the test");
		}

		@Override
		public void onChange(Consumer<ServingConfiguration> listener) {
			// Never changes.
		}

	}

}
