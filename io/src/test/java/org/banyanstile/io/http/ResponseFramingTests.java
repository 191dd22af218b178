package org.banyanstile.io.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Random;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.nullValue;
import static org.hamcrest.Matchers.startsWith;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Tests that {@link HttpClient} accepts a response only if its framing is well formed.
 *
 * @author banyanstile contributors
 */
@Timeout(20)
class ResponseFramingTests {

	private final HttpClient client = HttpClient.create(1);

	@AfterEach
	void stop() {
		this.client.close();
	}

	private static HttpRequest request(HostilePeer peer, String method) {
		return new HttpRequest(method, peer.address(), "/", Map.of(), new byte[0], Duration.ofSeconds(10), false);
	}

	private void read(HostilePeer peer, String method) throws HttpException {
		try (HttpResponse response = this.client.send(request(peer, method))) {
			response.bytes(1000);
		}
	}

	private void assertRefused(HostilePeer peer, FramingRow row) throws Exception {
		MalformedResponseException failure = assertThrows(MalformedResponseException.class,
				() -> read(peer, row.method()));
		assertThat(failure.fault(), is(row.fault()));
		peer.awaitClosed();
	}

	@ParameterizedTest
	@EnumSource
	void malformedResponseIsRefused(FramingRow row) throws Exception {
		try (HostilePeer peer = HostilePeer.whole(row.response())) {
			assertRefused(peer, row);
		}
	}

	/**
	 * A body where none is allowed is only a part of the response if it arrives together
	 * with the head.
	 * @param row the malformed response
	 * @throws Exception if the response is not refused
	 */
	@ParameterizedTest
	@EnumSource(mode = EnumSource.Mode.EXCLUDE,
			names = { "NO_CONTENT_WITH_BODY", "NOT_MODIFIED_WITH_BODY", "HEAD_WITH_BODY", "HEAD_WITH_CHUNKS" })
	void malformedResponseInPartsIsRefused(FramingRow row) throws Exception {
		for (int seed = 0; seed < 5; seed++) {
			try (HostilePeer peer = HostilePeer.split(seed, row.response())) {
				assertRefused(peer, row);
			}
		}
	}

	@ParameterizedTest
	@EnumSource
	void malformedResponseOnAKeptConnectionIsRefused(FramingRow row) throws Exception {
		String valid = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";
		try (HostilePeer peer = HostilePeer.whole(valid, row.response())) {
			read(peer, "GET");
			assertRefused(peer, row);
		}
	}

	@ParameterizedTest
	@EnumSource
	void parserGetsNoByteFromTheFaultOn(FramingRow row) {
		byte[] bytes = row.response().getBytes(StandardCharsets.ISO_8859_1);
		ResponseFraming framing = new ResponseFraming();
		framing.begin(row.method());
		int valid = framing.accept(ByteBuffer.wrap(bytes), 0, bytes.length);
		assertThat(framing.fault(), is(row.fault()));
		assertThat(valid, is(lessThan(bytes.length)));
		assertThat(framing.isComplete(), is(false));
	}

	@ParameterizedTest
	@ValueSource(strings = { "000", "001", "099", "101", "199", "600", "999" })
	void statusThatIsNoFinalOneIsMalformed(String status) throws Exception {
		try (HostilePeer peer = HostilePeer.whole("HTTP/1.1 " + status + " Odd\r\nContent-Length: 4\r\n\r\nbody")) {
			assertThrows(MalformedResponseException.class, () -> this.client.send(request(peer, "GET")).text(1000));
		}
	}

	@ParameterizedTest
	@EnumSource
	void validResponseIsReadInAnyParts(ValidResponse valid) throws Exception {
		for (int seed = 0; seed < 5; seed++) {
			try (HostilePeer peer = HostilePeer.split(seed, valid.text, valid.text);
					HttpResponse first = this.client.send(request(peer, valid.method))) {
				assertThat(first.text(1000), is(valid.body));
				HttpResponse second = this.client.send(request(peer, valid.method));
				assertThat(second.text(1000), is(valid.body));
				assertThat(second.exchangeNumber(), is(2));
			}
		}
	}

	@ParameterizedTest
	@EnumSource
	void validResponseIsCompleteAtItsLastByteOnly(ValidResponse valid) {
		byte[] bytes = valid.text.getBytes(StandardCharsets.ISO_8859_1);
		ResponseFraming framing = new ResponseFraming();
		framing.begin(valid.method);
		for (int i = 0; i < bytes.length; i++) {
			assertThat("at byte " + i, framing.isComplete(), is(false));
			assertThat("at byte " + i, framing.accept(ByteBuffer.wrap(bytes), i, i + 1), is(i + 1));
		}
		assertThat(framing.fault(), is(nullValue()));
		assertThat(framing.isComplete(), is(true));
	}

	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 200 OK\r\n\r\nbody", "HTTP/1.0 200 OK\r\nConnection: close\r\n\r\nbody" })
	void bodyWithoutLengthIsPassedOn(String response) throws Exception {
		try (HostilePeer peer = HostilePeer.whole(response);
				HttpResponse received = this.client.send(request(peer, "GET"))) {
			assertThat(StandardCharsets.ISO_8859_1.decode(received.next()).toString(), startsWith("body"));
		}
	}

	@Test
	void responseThatIsNotModifiedEndsWithItsHead() throws Exception {
		try (HostilePeer peer = HostilePeer.whole("HTTP/1.1 304 Not Modified\r\nContent-Length: 1632\r\n\r\n")) {
			assertThat(this.client.send(request(peer, "GET")).text(10), is(""));
			peer.awaitClosed();
		}
	}

	@Test
	void bytesAfterTheEndKeepTheConnectionFromReuse() throws Exception {
		String response = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";
		try (HostilePeer peer = HostilePeer.whole(response + response)) {
			assertThat(this.client.send(request(peer, "GET")).text(10), is("body"));
			peer.awaitClosed();
		}
	}

	/**
	 * Plays random bytes of framing, of which none may end a response that the check does
	 * not find complete.
	 * @throws Exception if the peer cannot be started
	 */
	@Test
	void responseOfRandomFramingIsNotWholeWithoutProof() throws Exception {
		String[] parts = { "0", "4", "f", "\r\n", "\r", "\n", ";", " ", "body", "X: y", "-", "0x", "0\r\n\r\n",
				"4\r\nbody\r\n" };
		for (int seed = 0; seed < 100; seed++) {
			Random random = new Random(seed);
			StringBuilder text = new StringBuilder("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
			random.ints(12, 0, parts.length).forEach((i) -> text.append(parts[i]));
			byte[] bytes = text.toString().getBytes(StandardCharsets.ISO_8859_1);
			ResponseFraming framing = new ResponseFraming();
			framing.begin("GET");
			framing.accept(ByteBuffer.wrap(bytes), 0, bytes.length);
			if (framing.fault() == null || framing.fault() == FramingFault.BYTES_AFTER_END) {
				continue;
			}
			try (HostilePeer peer = HostilePeer.split(seed, text.toString())) {
				assertThrows(MalformedResponseException.class, () -> read(peer, "GET"), "seed " + seed);
			}
		}
	}

	/**
	 * Responses that must pass unchanged.
	 */
	enum ValidResponse {

		LENGTH("GET", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", "body"),

		LENGTH_WITH_SPACE("GET", "HTTP/1.1 200 OK\r\ncontent-length:\t 004 \t\r\n\r\nbody", "body"),

		LENGTH_ZERO("GET", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", ""),

		WITHOUT_REASON("GET", "HTTP/1.1 200 \r\nContent-Length: 4\r\n\r\nbody", "body"),

		OTHER_CHARACTERS("GET",
				"HTTP/1.1 200 \u00e9\t\r\nX-Empty:\r\nX-F~1: \u00e9\t\"a\"\r\nContent-Length: 4\r\n\r\nbody", "body"),

		CONTINUED("GET", "HTTP/1.1 100 Continue\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
				"body"),

		CHUNKS("GET", ValidResponse.CHUNKED + "4\r\nbody\r\n0F\r\n0123456789\r\n\r\nz\r\n0\r\n\r\n",
				"body0123456789\r\n\r\nz"),

		NO_CHUNK("GET", ValidResponse.CHUNKED + "0\r\n\r\n", ""),

		CHUNK_EXTENSIONS("GET", ValidResponse.CHUNKED + "4;a=b;c=\"d e\"\r\nbody\r\n4 ; a\r\nmore\r\n000;z\r\n\r\n",
				"bodymore"),

		TRAILERS("GET", ValidResponse.CHUNKED + "4\r\nbody\r\n0\r\nX-Sum: 1\r\nX-Other:\r\n\r\n", "body"),

		NO_CONTENT("GET", "HTTP/1.1 204 No Content\r\n\r\n", ""),

		NO_CONTENT_OF_LENGTH_ZERO("GET", "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n", ""),

		NOT_MODIFIED("GET", "HTTP/1.1 304 Not Modified\r\nETag: \"a\"\r\n\r\n", ""),

		HEAD("HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 1632\r\n\r\n", ""),

		HEAD_OF_CHUNKS("HEAD", ValidResponse.CHUNKED, "");

		private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n";

		private final String method;

		private final String text;

		private final String body;

		ValidResponse(String method, String text, String body) {
			this.method = method;
			this.text = text;
			this.body = body;
		}

	}

}
