package org.banyanstile.config.key;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.banyanstile.config.FleetConfiguration;
import org.banyanstile.config.KeyState;
import org.banyanstile.config.Team;
import org.banyanstile.config.TeamKey;

/**
 * Immutable index of the keys of a configuration.
 *
 * @author banyanstile contributors
 */
public final class KeyRing {

	/**
	 * Used for the comparison if the key id is unknown, so that the response time does
	 * not reveal which ids exist.
	 */
	private static final TeamKey DUMMY_KEY = TeamKey.active("none", "00".repeat(16), "00".repeat(32));

	private final Map<String, Entry> entries;

	private KeyRing(Map<String, Entry> entries) {
		this.entries = Map.copyOf(entries);
	}

	/**
	 * Returns the index of a configuration.
	 * @param configuration the configuration
	 * @return the index
	 */
	public static KeyRing of(FleetConfiguration configuration) {
		Map<String, Entry> entries = new HashMap<>();
		for (Team team : configuration.teams()) {
			team.keys().forEach((key) -> entries.put(key.id(), new Entry(team, key)));
		}
		return new KeyRing(entries);
	}

	/**
	 * Finds the team of a presented key.
	 * @param text the key as the caller sent it
	 * @return the team and key id, or empty if the key is unknown, wrong or withdrawn
	 */
	public Optional<AuthenticatedKey> authenticate(String text) {
		return PresentedKey.parse(text).flatMap(this::authenticate);
	}

	/**
	 * Returns whether a key is still accepted. Checked for running streams when a new
	 * version is applied.
	 * @param key the key as it was authenticated under an earlier version
	 * @return whether it exists, belongs to the same team and is active
	 */
	public boolean isActive(AuthenticatedKey key) {
		Entry entry = this.entries.get(key.keyId());
		return entry != null && entry.key().state() == KeyState.ACTIVE && entry.team().name().equals(key.team().name())
				&& entry.key().hash().equals(key.keyHash());
	}

	private Optional<AuthenticatedKey> authenticate(PresentedKey presented) {
		Entry entry = this.entries.get(presented.id());
		boolean matches = KeyHash.matches((entry != null) ? entry.key() : DUMMY_KEY, presented.secret());
		if (entry == null || !matches || entry.key().state() != KeyState.ACTIVE) {
			return Optional.empty();
		}
		return Optional.of(new AuthenticatedKey(entry.team(), entry.key().id(), entry.key().hash()));
	}

	/**
	 * A key with its team.
	 *
	 * @param team the team
	 * @param key the key
	 */
	private record Entry(Team team, TeamKey key) {

	}

}
