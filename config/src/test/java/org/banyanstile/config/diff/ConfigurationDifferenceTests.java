package org.banyanstile.config.diff;

import java.util.List;

import org.banyanstile.config.DataCentre;
import org.banyanstile.config.FleetConfiguration;
import org.banyanstile.config.Limits;
import org.banyanstile.config.Region;
import org.banyanstile.config.Route;
import org.banyanstile.config.Team;
import org.banyanstile.config.TeamKey;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

/**
 * Tests for {@link ConfigurationDifference}.
 *
 * @author banyanstile contributors
 */
class ConfigurationDifferenceTests {

	private static final TeamKey KEY = TeamKey.active("k1", "0f".repeat(16), "ab".repeat(32));

	private static FleetConfiguration.Builder builder() {
		return FleetConfiguration.builder("d")
			.limits(Limits.of(10, 10, 10))
			.route(Route.once("s", "POST", "/orders"))
			.region(Region.of("r", "a"));
	}

	private static List<String> between(FleetConfiguration.Builder before, FleetConfiguration.Builder after) {
		return ConfigurationDifference.between(before.build(), after.build()).stream().map(Change::toString).toList();
	}

	@Test
	void namesMembersByIdentity() {
		FleetConfiguration.Builder before = builder().team(Team.builder("t").key(KEY).build());
		FleetConfiguration.Builder after = builder().team(Team.builder("t").weight(2).key(KEY.withdrawn()).build());
		assertThat(between(before, after), contains("~ $.teams[?@.name=='t'].weight: 1 -> 2",
				"~ $.teams[?@.name=='t'].keys[?@.id=='k1'].state: \"active\" -> \"withdrawn\""));
	}

	@Test
	void aChangeOfOrderIsNoChange() {
		Team t = Team.builder("t").build();
		Team u = Team.builder("u").build();
		assertThat(between(builder().team(t).team(u), builder().team(u).team(t)), is(empty()));
	}

	@Test
	void reportsAddedAndRemovedMembers() {
		FleetConfiguration.Builder after = FleetConfiguration.builder("d")
			.limits(Limits.of(10, 10, 10))
			.region(new Region("r", List.of(DataCentre.of("a").withDrained(true), DataCentre.of("b"))));
		assertThat(between(builder(), after),
				contains("~ $.regions[?@.name=='r'].dataCentres[?@.name=='a'].drained: false -> true",
						"+ $.regions[?@.name=='r'].dataCentres[?@.name=='b']: {\"name\":\"b\",\"drained\":false}",
						"- $.routes[?@.service=='s'&&@.method=='POST'&&@.path=='/orders']: {\"service\":\"s\","
								+ "\"method\":\"POST\",\"path\":\"/orders\",\"idempotent\":false,\"open\":false}"));
	}

	@Test
	void saltsAndHashesAreShortened() {
		Team with = Team.builder("t").key(KEY).build();
		String text = between(builder(), builder().team(with)).toString();
		assertThat(text, containsString("\"hash\":\"abab...\""));
		assertThat(text, not(containsString("ababa")));
		Team renewed = Team.builder("t").key(TeamKey.active("k1", "0f".repeat(16), "cd".repeat(32))).build();
		assertThat(between(builder().team(with), builder().team(renewed)),
				contains("~ $.teams[?@.name=='t'].keys[?@.id=='k1'].hash: \"abab...\" -> \"cdcd...\""));
	}

}
