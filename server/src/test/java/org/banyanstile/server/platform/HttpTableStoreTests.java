package org.banyanstile.server.platform;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.undertow.Undertow;
import io.undertow.server.HttpHandler;
import io.undertow.server.handlers.BlockingHandler;
import org.banyanstile.core.store.Condition;
import org.banyanstile.core.store.Row;
import org.banyanstile.core.store.StoreException;
import org.banyanstile.core.store.StoreOutcomeUnknownException;
import org.banyanstile.core.store.StoreThrottledException;
import org.banyanstile.core.store.StoreUnavailableException;
import org.banyanstile.core.store.Transaction;
import org.banyanstile.core.store.TransactionResult;
import org.banyanstile.io.http.HttpClient;
import org.banyanstile.server.LateCopyServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Tests for {@link HttpTableStore}. Guards against reporting a failed call that may have
 * taken effect as one that has not.
 *
 * @author banyanstile contributors
 */
class HttpTableStoreTests {

	private final HttpClient http = HttpClient.create(1);

	private final CountDownLatch released = new CountDownLatch(1);

	private Undertow server;

	@AfterEach
	void stop() {
		this.released.countDown();
		this.http.close();
		if (this.server != null) {
			this.server.stop();
		}
	}

	private HttpTableStore serve(HttpHandler handler) {
		this.server = Undertow.builder().addHttpListener(0, "127.0.0.1", new BlockingHandler(handler)).build();
		this.server.start();
		InetSocketAddress address = (InetSocketAddress) this.server.getListenerInfo().get(0).getAddress();
		return HttpTableStore.create(this.http, "http://127.0.0.1:" + address.getPort());
	}

	private HttpTableStore reply(int status, String body) {
		return serve((exchange) -> {
			exchange.setStatusCode(status);
			exchange.getOutputStream().write(body.getBytes());
		});
	}

	private static TransactionResult put(HttpTableStore store) throws StoreException {
		return store.transact(Transaction.put("id", Condition.absent("k"), "{}"));
	}

	@Test
	void refusedConnectionIsUnavailable() {
		HttpTableStore store = reply(200, "{}");
		this.server.stop();
		assertThrows(StoreUnavailableException.class, () -> put(store));
	}

	@Test
	void limitedRateIsThrottled() {
		HttpTableStore store = reply(429, "{}");
		assertThrows(StoreThrottledException.class, () -> put(store));
	}

	@Test
	void serverErrorAndUnreadableReplyHaveAnUnknownOutcome() {
		HttpTableStore store = reply(503, "{\"error\":\"unavailable\"}");
		assertThrows(StoreOutcomeUnknownException.class, () -> put(store));
		this.server.stop();
		HttpTableStore unreadable = reply(200, "{\"versions\":");
		assertThrows(StoreOutcomeUnknownException.class, () -> put(unreadable));
	}

	@Test
	void brokenConnectionAndTimeoutHaveAnUnknownOutcome() {
		HttpTableStore broken = serve((exchange) -> exchange.getConnection().close());
		assertThrows(StoreOutcomeUnknownException.class, () -> put(broken));
		this.server.stop();
		HttpTableStore silent = serve((exchange) -> this.released.await(10, TimeUnit.SECONDS));
		assertThrows(StoreOutcomeUnknownException.class, () -> put(silent));
	}

	@Test
	void lateCopyOfAnEarlierReplyDoesNotShowThatARowIsAbsent() throws Exception {
		String absent = LateCopyServer.response("200 OK", "{\"rows\":[]}");
		String present = LateCopyServer.response("200 OK",
				"{\"rows\":[{\"key\":\"k\",\"version\":7,\"value\":\"{}\"}]}");
		try (LateCopyServer table = LateCopyServer
			.start((request) -> (request.contains("\"k\"") || request.contains("prefix=k")) ? present : absent)) {
			HttpTableStore store = HttpTableStore.create(this.http, "http://" + table.address());
			store.read(List.of("other"));
			assertThat(store.read(List.of("k")), equalTo(List.of(new Row("k", 7, "{}"))));
			store.scan("other", 5);
			assertThat(store.scan("k", 5), equalTo(List.of(new Row("k", 7, "{}"))));
		}
	}

	@Test
	void connectionIsClosedAfterItsReply() throws Exception {
		try (LateCopyServer table = LateCopyServer
			.start((request) -> LateCopyServer.response("200 OK", "{\"rows\":[]}"))) {
			HttpTableStore store = HttpTableStore.create(this.http, "http://" + table.address());
			for (int i = 0; i < 3; i++) {
				store.read(List.of("k"));
			}
			assertThat(LateCopyServer.awaitNoConnection(table), equalTo(true));
		}
	}

	@Test
	void replyOfAnotherOperationDoesNotShowThatARowIsAbsent() {
		HttpTableStore committed = reply(200, "{\"versions\":{}}");
		assertThrows(StoreOutcomeUnknownException.class, () -> committed.read(List.of("k")));
		this.server.stop();
		HttpTableStore conflict = reply(409, "{\"rows\":[]}");
		assertThrows(StoreOutcomeUnknownException.class, () -> conflict.read(List.of("k")));
		this.server.stop();
		HttpTableStore rows = reply(200, "{\"rows\":[]}");
		assertThrows(StoreOutcomeUnknownException.class, () -> put(rows));
	}

	@Test
	void repliesAreDecoded() throws StoreException {
		HttpTableStore store = serve((exchange) -> {
			boolean transact = exchange.getRequestPath().endsWith("/transact");
			exchange.setStatusCode(transact ? 409 : 200);
			String key = transact ? "k" : exchange.getQueryString();
			exchange.getOutputStream()
				.write(("{\"rows\":[{\"key\":\"" + key + "\",\"version\":7,\"value\":\"{}\"}]}").getBytes());
		});
		assertThat(put(store), equalTo(new TransactionResult.Conflict(List.of(new Row("k", 7, "{}")))));
		assertThat(store.scan("vm/", 5), equalTo(List.of(new Row("prefix=vm%2F&limit=5", 7, "{}"))));
		this.server.stop();
		assertThat(put(reply(200, "{\"versions\":{\"k\":9}}")),
				equalTo(new TransactionResult.Committed(Map.of("k", 9L))));
	}

}
