package org.banyanstile.emulator.process;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import org.banyanstile.emulator.engine.EngineText;
import org.banyanstile.emulator.http.Json;
import org.banyanstile.io.http.ConnectFailedException;
import org.banyanstile.io.http.HttpException;
import org.banyanstile.io.http.HttpRequest;
import org.banyanstile.io.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.notNullValue;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Tests of the stand-ins as processes. If they did not inject these faults, the process
 * tests of the fleet would pass without testing anything.
 *
 * @author banyanstile contributors
 */
class StandInProcessTests {

	private static final String PROMPT = "quotation for two panels";

	private static final int EXIT_SECONDS = 20;

	private Deployment deployment;

	@BeforeEach
	void create() throws Exception {
		this.deployment = Deployment.create(Launcher.ofClassPath(),
				Path.of("target", "process-tests", "stand-ins-" + ProcessHandle.current().pid()));
	}

	@AfterEach
	void close() {
		this.deployment.close();
	}

	private JsonCalls.Response post(Node node, String path, Object body) throws HttpException {
		return this.deployment.calls().post(node.address(), path, body);
	}

	private JsonCalls.Response prefill(Node engine, String prompt) throws HttpException {
		return post(engine, "/engine/v1/prefill",
				Map.of("requestId", "r", "holder", "vm/1", "model", "m", "prompt", prompt, "priority", 0));
	}

	private JsonCalls.Response importKv(Node engine, Node source, String prefillId) throws HttpException {
		return post(engine, "/engine/v1/kv/import",
				Map.of("requestId", "r", "holder", "vm/1", "source", source.address(), "prefillId", prefillId));
	}

	private HttpResponse decode(Node engine, int fromOffset) throws HttpException {
		return this.deployment.calls()
			.client()
			.send(HttpRequest.postJson(engine.address(), "/engine/v1/decode",
					Json.text(Map.of("requestId", "r", "holder", "vm/1", "maxTokens", 40, "fromOffset", fromOffset))));
	}

	private static JsonNode next(HttpResponse response) throws HttpException, JsonProcessingException {
		String line = response.line(10_000);
		assertThat("stream ended early", line, is(notNullValue()));
		return Json.parse(line);
	}

	@Test
	void aBrokenStreamIsResumedAtTheExactOffset() throws Exception {
		Node source = this.deployment.startEngine("prefill");
		Node engine = this.deployment.startEngine("decode");
		this.deployment.awaitNodes();
		String id = prefill(source, PROMPT).body().path("prefillId").asText();
		assertThat(importKv(engine, source, id).status(), is(200));
		String digest = EngineText.digest(PROMPT);
		try (HttpResponse response = decode(engine, 0)) {
			assertThat(next(response).path("offset").asInt(), is(0));
			assertThat(next(response).path("offset").asInt(), is(1));
		}
		try (HttpResponse response = decode(engine, 2)) {
			for (int offset = 2; offset < 40; offset++) {
				JsonNode line = next(response);
				assertThat(line.path("offset").asInt(), is(offset));
				assertThat(line.path("text").asText().strip(), is(EngineText.word(digest, offset)));
			}
			assertThat(next(response).path("finish").asText(), is("length"));
		}
		assertThat(importKv(engine, source, id).body().path("error").asText(), is("expired"));
	}

	@Test
	void aStalledTransferMakesNoProgressUntilItsResultIsReleased() throws Exception {
		Node source = this.deployment.startEngine("prefill");
		Node engine = this.deployment.startEngine("decode");
		this.deployment.awaitNodes();
		post(source, "/faults/v1", Map.of("stallExports", true));
		String id = prefill(source, PROMPT).body().path("prefillId").asText();
		long startedAt = System.nanoTime();
		JsonCalls.Response response = importKv(engine, source, id);
		assertThat(System.nanoTime() - startedAt > TimeUnit.SECONDS.toNanos(1), is(true));
		assertThat(response.body().path("error").asText(), is("source failed"));
		assertThat(
				this.deployment.calls().get(engine.address(), "/engine/v1/stats").body().path("kvPiecesUsed").asInt(),
				is(0));
	}

	@Test
	void aPromptWithTheCrashWordEndsTheEngineWhichReturnsAtTheSameAddress() throws Exception {
		Node engine = this.deployment.startEngine("prefill", "--crash-word");
		this.deployment.awaitNodes();
		assertThrows(HttpException.class, () -> prefill(engine, "please crash-engine now"));
		engine.process().awaitExit(EXIT_SECONDS);
		assertThrows(ConnectFailedException.class, () -> prefill(engine, PROMPT));
		Node again = this.deployment.startEngine("prefill");
		this.deployment.awaitNodes();
		assertThat(again.address(), is(engine.address()));
		assertThat(prefill(again, PROMPT).status(), is(200));
	}

	@Test
	void aColdEngineRefusesFullLoadAndThenExits() throws Exception {
		Node source = this.deployment.startEngine("prefill");
		Node cold = this.deployment.startEngine("decode", "--cold-millis", "60000", "--cold-slots", "0", "--slots", "2",
				"--cold-crash");
		this.deployment.awaitNodes();
		assertThat(this.deployment.calls().get(cold.address(), "/engine/v1/load").body().path("cold").asBoolean(),
				is(true));
		String id = prefill(source, PROMPT).body().path("prefillId").asText();
		assertThat(importKv(cold, source, id).status(), is(503));
		String second = prefill(source, PROMPT).body().path("prefillId").asText();
		assertThrows(HttpException.class, () -> importKv(cold, source, second));
		cold.process().awaitExit(EXIT_SECONDS);
	}

	@Test
	void aLostReplyLeavesTheWriteInEffect() throws Exception {
		Node platform = this.deployment.startPlatform("--list-lag-millis", "0");
		this.deployment.awaitNodes();
		Map<String, Object> write = Map.of("operationId", "o", "conditions", List.of(Map.of("key", "k", "version", 0)),
				"writes", List.of(Map.of("key", "k", "value", "1")));
		post(platform, "/faults/v1", Map.of("tables", "lose-replies", "lossFraction", 1, "seed", 1));
		assertThrows(HttpException.class, () -> post(platform, "/tables/v1/transact", write));
		post(platform, "/faults/v1", Map.of("tables", "up"));
		assertThat(post(platform, "/tables/v1/transact", write).status(), is(409));
		post(platform, "/faults/v1", Map.of("tables", "down"));
		assertThat(this.deployment.calls().get(platform.address(), "/tables/v1/scan?prefix=k").status(), is(503));
	}

}
