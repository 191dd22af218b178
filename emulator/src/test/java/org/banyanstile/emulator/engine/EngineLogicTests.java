package org.banyanstile.emulator.engine;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.nullValue;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Tests for the logic of the engine stand-in.
 *
 * @author banyanstile contributors
 */
class EngineLogicTests {

	private static final String PROMPT = "two words";

	private final KvMemory memory = new KvMemory(4);

	private final ColdStart cold = new ColdStart(3, 1, 0);

	private final DecodeBatch batch = new DecodeBatch(this.memory, this.cold);

	private void imported(String requestId, long now) throws EngineRefusal {
		this.batch.endImport(this.batch.beginImport(requestId, "vm/1", PROMPT, now), true, now);
	}

	@Test
	void anUnusedPrefillResultExpiresAndFreesItsMemory() throws Exception {
		PrefillTable prefills = new PrefillTable(10, this.memory);
		this.memory.reserve(1);
		String id = prefills.add("r", PROMPT, 0);
		assertThat(prefills.beginExport(id, 9), is(PROMPT));
		prefills.expire(100);
		assertThat("a running export keeps the result", this.memory.used(), is(1));
		prefills.endExport(id, false);
		prefills.expire(100);
		assertThat(this.memory.used(), is(0));
		assertThat(prefills.wasted(), is(1L));
		assertThat(assertThrows(EngineRefusal.class, () -> prefills.beginExport(id, 100)).status(), is(410));
	}

	@Test
	void anExportedPrefillResultIsNotWasted() throws Exception {
		PrefillTable prefills = new PrefillTable(10, this.memory);
		this.memory.reserve(1);
		String id = prefills.add("r", PROMPT, 0);
		prefills.beginExport(id, 5);
		prefills.endExport(id, true);
		prefills.expire(100);
		assertThat(prefills.wasted(), is(0L));
		assertThat(this.memory.used(), is(0));
	}

	@Test
	void aStreamRunsToItsEndWithoutItsCaller() throws Exception {
		imported("r", 1);
		DecodeBatch.Attachment attachment = this.batch.attach("r", "vm/1", 3, 1);
		this.batch.step(2);
		assertThat(this.batch.await(attachment, 0).generated(), is(1));
		this.batch.step(3);
		this.batch.step(4);
		assertThat(this.memory.used(), is(0));
		assertThat(this.batch.streams(4), is(empty()));
		DecodeBatch.Attachment again = this.batch.attach("r", "vm/2", 3, 5);
		assertThat(this.batch.await(again, 1).finish(), is("length"));
		this.batch.step(4 + DecodeBatch.RETENTION_NANOS);
		assertThrows(EngineRefusal.class, () -> this.batch.attach("r", "vm/2", 3, 6));
	}

	@Test
	void aNewerConnectionEndsTheOlderOne() throws Exception {
		imported("r", 1);
		DecodeBatch.Attachment older = this.batch.attach("r", "vm/1", 3, 1);
		DecodeBatch.Attachment newer = this.batch.attach("r", "vm/2", 3, 1);
		assertThat(this.batch.await(older, 0).interrupted(), is(true));
		this.batch.step(2);
		assertThat(this.batch.await(newer, 0).interrupted(), is(false));
		assertThat(this.batch.streams(2).get(0).holder(), is("vm/2"));
	}

	@Test
	void cancellationFreesMemoryAndRemovesTheStreamFromTheList() throws Exception {
		imported("r", 1);
		DecodeBatch.Attachment attachment = this.batch.attach("r", "vm/1", 1500, 1);
		assertThat(this.memory.used(), is(2));
		assertThat(this.batch.streams(1), hasSize(1));
		this.batch.cancel("r", 2);
		assertThat(this.memory.used(), is(0));
		assertThat(this.batch.await(attachment, 0).interrupted(), is(true));
		assertThat(this.batch.streams(2), is(empty()));
	}

	@Test
	void anImportThatIsNeverDecodedIsReleased() throws Exception {
		imported("r", 1);
		this.batch.step(1 + DecodeBatch.RETENTION_NANOS);
		assertThat(this.memory.used(), is(0));
	}

	@Test
	void refusesMoreThanItsSlotsAndItsMemory() throws Exception {
		for (int i = 0; i < 3; i++) {
			imported("r" + i, 1);
		}
		assertThat(assertThrows(EngineRefusal.class, () -> imported("r3", 1)).status(), is(429));
		KvMemory small = new KvMemory(1);
		small.reserve(1);
		assertThat(assertThrows(EngineRefusal.class, () -> small.reserve(1)).status(), is(429));
	}

	@Test
	void aColdEngineAtFullLoadIsOverloaded() throws Exception {
		this.cold.makeCold(100);
		imported("r", 1);
		for (int i = 0; i < 3; i++) {
			assertThat(this.cold.isOverloaded(), is(false));
			assertThat(assertThrows(EngineRefusal.class, () -> imported("s", 1)).status(), is(503));
		}
		assertThat(this.cold.isOverloaded(), is(true));
		assertThat(this.cold.capacity(100), is(3));
	}

	@Test
	void theLinkCarriesPiecesAtItsRate() {
		Link link = new Link(100, 0);
		assertThat(link.queue(0), is(TimeUnit.MILLISECONDS.toNanos(10)));
		assertThat(link.queue(0), is(TimeUnit.MILLISECONDS.toNanos(20)));
		assertThat(link.queue(TimeUnit.SECONDS.toNanos(1)), is(TimeUnit.MILLISECONDS.toNanos(10)));
	}

	@Test
	void wordsDependOnThePromptAndTheOffsetOnly() {
		String digest = EngineText.digest("a  b\n");
		assertThat(digest, is(EngineText.digest("a b")));
		assertThat(digest, is(not(EngineText.digest("a c"))));
		assertThat(EngineText.word(digest, 3), is(not(EngineText.word(digest, 4))));
		assertThat(EngineText.length("x answer-words=12 y"), is(12));
		assertThat(EngineText.tokens("  a b  c "), is(3));
	}

	@Test
	void progressOfARunningStreamHasNoFinish() throws Exception {
		imported("r", 1);
		DecodeBatch.Attachment attachment = this.batch.attach("r", "vm/1", 3, 1);
		this.batch.step(2);
		assertThat(this.batch.await(attachment, 0).finish(), is(nullValue()));
	}

}
