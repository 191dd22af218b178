package org.banyanstile.server.endpoint;

import java.util.List;

import org.banyanstile.io.http.HttpClient;
import org.banyanstile.server.LateCopyServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link EngineClient}.
 *
 * @author banyanstile contributors
 */
class EngineClientTests {

	private final HttpClient http = HttpClient.create(1);

	private final EngineClient client = EngineClient.create(this.http, () -> "vm-1/1");

	@AfterEach
	void close() {
		this.http.close();
	}

	/**
	 * Guards against the cancellation of a stream that another VM has taken over.
	 */
	@Test
	void lateCopyOfAnEarlierReportIsNotTheNextList() throws Exception {
		EngineStream stream = new EngineStream("r1", "vm-2/1", 5);
		try (LateCopyServer engine = LateCopyServer.start(EngineClientTests::respond)) {
			assertThat(this.client.load(engine.address()).active(), is(1));
			assertThat(this.client.streams(engine.address()), is(List.of(stream)));
			assertThat(this.client.load(engine.address()).active(), is(1));
		}
	}

	@Test
	void connectionIsClosedAfterItsResponse() throws Exception {
		try (LateCopyServer engine = LateCopyServer.start(EngineClientTests::respond)) {
			this.client.load(engine.address());
			this.client.streams(engine.address());
			this.client.cancel(engine.address(), "r1");
			this.client.prefill(engine.address(), new PrefillCall("r1", "writer", "one", 0));
			assertThat(LateCopyServer.awaitNoConnection(engine), is(true));
		}
	}

	private static String respond(String request) {
		return LateCopyServer.response("200 OK", request.contains("/load") ? "{\"active\":1,\"capacity\":4}"
				: "{\"streams\":[{\"requestId\":\"r1\",\"holder\":\"vm-2/1\",\"ageMillis\":5}]}");
	}

}
