package org.banyanstile.server.router;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Random;

import org.banyanstile.core.stream.EventSequence;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

/**
 * Tests for {@link EventSplitter}.
 *
 * @author banyanstile contributors
 */
class EventSplitterTests {

	private final EventSplitter splitter = new EventSplitter(EventSequence.create());

	private static ByteBuffer bytes(String text) {
		return ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
	}

	private static String text(ByteBuffer bytes) {
		return StandardCharsets.UTF_8.decode(bytes).toString();
	}

	@Test
	void passesOnlyWholeEvents() {
		assertThat(text(this.splitter.append(bytes("id: 1\ndata: a\n\nid: 2\nda"))), is("id: 1\ndata: a\n\n"));
		assertThat(this.splitter.lastEventId(), is("1"));
		assertThat(text(this.splitter.append(bytes("ta: b\n\n"))), is("id: 2\ndata: b\n\n"));
		assertThat(this.splitter.lastEventId(), is("2"));
	}

	@Test
	void idOfAnEventThatBrokeOffDoesNotCount() {
		this.splitter.append(bytes("id: 1\ndata: a\n\nid: 2\ndata"));
		this.splitter.resume();
		assertThat(text(this.splitter.append(bytes("id: 2\ndata: b\n\n"))), is("id: 2\ndata: b\n\n"));
		assertThat(this.splitter.eventCount(), is(2));
	}

	@Test
	void hasNoIdBeforeTheFirstEvent() {
		this.splitter.append(bytes("id: 1\n"));
		assertThat(this.splitter.lastEventId(), is(nullValue()));
	}

	@Test
	void anyCutOfTheBytesGivesTheSameStream() {
		StringBuilder stream = new StringBuilder();
		for (int i = 1; i < 40; i++) {
			stream.append("id: ").append(i).append((i % 3 == 0) ? "\r\n" : "\n").append("data: ä\n\n");
		}
		byte[] all = stream.toString().getBytes(StandardCharsets.UTF_8);
		for (int seed = 0; seed < 200; seed++) {
			Random random = new Random(seed);
			EventSplitter freshSplitter = new EventSplitter(EventSequence.create());
			ByteArrayOutputStream out = new ByteArrayOutputStream();
			int at = 0;
			while (at < all.length) {
				int n = Math.min(all.length - at, 1 + random.nextInt(30));
				ByteBuffer complete = freshSplitter.append(ByteBuffer.wrap(all, at, n));
				out.write(complete.array(), complete.position(), complete.remaining());
				at += n;
			}
			assertThat("seed " + seed, out.toString(StandardCharsets.UTF_8), is(stream.toString()));
			assertThat(freshSplitter.eventCount(), is(39));
		}
	}

}
