package org.banyanstile.server.fleet;

import java.util.Set;
import java.util.TreeSet;

import org.banyanstile.server.caller.ServingConfiguration;
import org.banyanstile.server.caller.StreamKey;

/**
 * Names of the partitions.
 *
 * @author banyanstile contributors
 */
public final class Partitions {

	/**
	 * Number of partitions of team buckets, and of request directories.
	 */
	public static final int COUNT = 16;

	private Partitions() {
	}

	/**
	 * Returns the partition of a team bucket.
	 * @param number number of the partition
	 * @return the name
	 */
	public static String team(int number) {
		return "team/" + number;
	}

	/**
	 * Returns the partition of a request with an idempotency key.
	 * @param key identity of the request
	 * @return the name
	 */
	public static String request(StreamKey key) {
		return "request/" + Math.floorMod(key.hashCode(), COUNT);
	}

	/**
	 * Returns all partitions that must have an owner.
	 * @param configuration the configuration in force
	 * @return the names
	 */
	public static Set<String> all(ServingConfiguration configuration) {
		Set<String> names = new TreeSet<>();
		for (int i = 0; i < COUNT; i++) {
			names.add(team(i));
			names.add("request/" + i);
		}
		configuration.endpoints().forEach((target) -> names.add(target.pool().partition()));
		return names;
	}

}
