package org.banyanstile.core.catalog;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Tests for {@link EndpointAddress}.
 *
 * @author banyanstile contributors
 */
class EndpointAddressTests {

	@Test
	void addressIsKeptAsItWasWritten() {
		for (String text : List.of("10.0.0.1:80", "0.0.0.0:1", "255.255.255.255:65535", "127.0.0.1:8101")) {
			EndpointAddress address = EndpointAddress.parse(text);
			assertThat(address.toString(), is(text));
			assertThat(address.ip() + ':' + address.port(), is(text));
		}
	}

	@Test
	void portOutOfRangeIsRejected() {
		for (String port : List.of("0", "65536", "99999")) {
			IllegalArgumentException ex = assertThrows(IllegalArgumentException.class,
					() -> EndpointAddress.parse("10.0.0.1:" + port), port);
			assertThat(ex.getMessage(), containsString("port outside 1 to 65535"));
		}
	}

	@Test
	void ipAddressOutOfRangeIsRejected() {
		for (String ip : List.of("256.0.0.1", "10.0.0.256", "10.999.0.1", "10.0.99999.1")) {
			assertThrows(IllegalArgumentException.class, () -> EndpointAddress.parse(ip + ":80"), ip);
		}
	}

	@Test
	void otherFormsAreRejected() {
		for (String text : List.of("", ":", ":80", "10.0.0.1", "10.0.0.1:", "10.0.0.1:-1", "10.0.0.1:+80",
				"10.0.0.1:080", "010.0.0.1:80", "10.0.0.1:99999999999", "10.0.0:80", "10.0.0.1.2:80", "10.0.0.1:80:80",
				"10.0.0.1:80/x", "user@10.0.0.1:80", "http://10.0.0.1:80", " 10.0.0.1:80", "10.0.0.1:80 ",
				"10.0.0.1 :80", "10.0.0.1:80\n", "10.0.0.1:80\r\nX-Stage: prefill", "10.0.0.1\u0000:80", "localhost:80",
				"[::1]:80", "::1:80", "::ffff:10.0.0.1:80", "0x0a.0.0.1:80", "\u0661\u0660.0.0.1:80",
				"1".repeat(100_000))) {
			assertThrows(IllegalArgumentException.class, () -> EndpointAddress.parse(text), text);
		}
	}

}
