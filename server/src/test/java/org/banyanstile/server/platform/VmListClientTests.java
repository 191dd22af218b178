package org.banyanstile.server.platform;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;

import io.undertow.Undertow;
import org.banyanstile.io.http.HttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link VmListClient}.
 *
 * @author banyanstile contributors
 */
class VmListClientTests {

	private final HttpClient http = HttpClient.create(1);

	private Undertow server;

	@AfterEach
	void stop() {
		this.http.close();
		this.server.stop();
	}

	private Optional<List<String>> names(String body) {
		this.server = Undertow.builder()
			.addHttpListener(0, "127.0.0.1", (exchange) -> exchange.getResponseSender().send(body))
			.build();
		this.server.start();
		InetSocketAddress address = (InetSocketAddress) this.server.getListenerInfo().get(0).getAddress();
		return VmListClient.create(this.http, "http://127.0.0.1:" + address.getPort())
			.read()
			.map((vms) -> vms.stream().map((vm) -> vm.vm().name()).toList());
	}

	@Test
	void entryWithAnInvalidNameDoesNotHideOtherEntries() {
		assertThat(
				names("{\"vms\":[{\"name\":\"\"},{\"name\":7,\"address\":7},{},null,7,{\"name\":\"a/b\"},"
						+ "{\"name\":\"vm-1\",\"address\":\"10.0.0.1:1\",\"state\":\"running\"}]}"),
				is(Optional.of(List.of("vm-1"))));
	}

}
