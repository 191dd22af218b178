package org.banyanstile.config.key;

import java.util.List;

import org.banyanstile.config.FleetConfiguration;
import org.banyanstile.config.Limits;
import org.banyanstile.config.Team;
import org.banyanstile.config.TeamKey;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Tests for {@link KeyRing}, {@link KeyGenerator} and {@link KeyHash}.
 *
 * @author banyanstile contributors
 */
class KeyRingTests {

	private final KeyGenerator generator = KeyGenerator.create();

	private static FleetConfiguration configuration(String team, TeamKey key) {
		return FleetConfiguration.builder("d")
			.team(Team.builder(team).key(key).build())
			.limits(Limits.of(1, 1, 1))
			.build();
	}

	@Test
	void acceptsOnlyTheSecretOfTheKey() throws Exception {
		PresentedKey key = this.generator.create("k1");
		KeyRing ring = KeyRing.of(configuration("t", this.generator.entry(key)));
		assertThat(ring.authenticate(key.text()).map((found) -> found.team().name()).orElseThrow(), is(equalTo("t")));
		assertThat(ring.authenticate(this.generator.create("k1").text()).isPresent(), is(false));
		assertThat(ring.authenticate(this.generator.create("k2").text()).isPresent(), is(false));
		for (String text : List.of("", "bk_k1_", "bk_k1", key.text() + " ", key.text().toUpperCase())) {
			assertThat(text, ring.authenticate(text).isPresent(), is(false));
		}
	}

	@Test
	void refusesAWithdrawnKeyAndEndsItsStreams() throws Exception {
		PresentedKey key = this.generator.create("k1");
		TeamKey entry = this.generator.entry(key);
		AuthenticatedKey found = KeyRing.of(configuration("t", entry)).authenticate(key.text()).orElseThrow();
		KeyRing later = KeyRing.of(configuration("t", entry.withdrawn()));
		assertThat(later.authenticate(key.text()).isPresent(), is(false));
		assertThat(later.isActive(found), is(false));
	}

	/**
	 * Guards against a stream that continues after its key id is moved to another team.
	 */
	@Test
	void aKeyIdThatMovedToAnotherTeamIsNotActive() throws Exception {
		PresentedKey key = this.generator.create("k1");
		TeamKey entry = this.generator.entry(key);
		KeyRing ring = KeyRing.of(configuration("t", entry));
		AuthenticatedKey found = ring.authenticate(key.text()).orElseThrow();
		assertThat(ring.isActive(found), is(true));
		assertThat(KeyRing.of(configuration("u", entry)).isActive(found), is(false));
		TeamKey renewed = this.generator.entry(this.generator.create("k1"));
		assertThat(KeyRing.of(configuration("t", renewed)).isActive(found), is(false));
	}

	/**
	 * Test case 1 of RFC 4231. Hashes created by other programs must match.
	 */
	@Test
	void hashIsHmacSha256() {
		assertThat(KeyHash.of("0b".repeat(20), "Hi There"),
				is("b0344c61d8db38535ca8afceaf0bf12b881dc200c9833da726e9376c2e32cff7"));
	}

	@Test
	void refusesAnIdThatWouldMakeTheTextAmbiguous() {
		assertThrows(InvalidKeyException.class, () -> this.generator.create("a_b"));
	}

	@Test
	void operatorTokenIsComparedWithItsHash() {
		String hash = OperatorToken.hash("token");
		assertThat(OperatorToken.matches("token", hash), is(true));
		assertThat(OperatorToken.matches("Token", hash), is(false));
	}

}
