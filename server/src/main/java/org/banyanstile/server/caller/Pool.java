package org.banyanstile.server.caller;

import java.util.Locale;

import org.banyanstile.core.common.DataCentreId;

/**
 * Endpoints of one data centre that serve the same model or service in the same role.
 *
 * @param dataCentre the data centre
 * @param serves name of the model or service
 * @param role the role
 * @author banyanstile contributors
 */
public record Pool(DataCentreId dataCentre, String serves, PoolRole role) implements Comparable<Pool> {

	/**
	 * Returns the name of the partition whose owner manages the pool. The prefill and
	 * decode pools of a model have the same owner.
	 * @return the partition name
	 */
	public String partition() {
		return "pool/" + this.dataCentre + "/" + this.serves;
	}

	/**
	 * Returns the name of the pool, unique in the deployment.
	 * @return the name
	 */
	public String name() {
		return this.dataCentre + "/" + this.serves + "/" + this.role.name().toLowerCase(Locale.ROOT);
	}

	/**
	 * Returns the pool with a name.
	 * @param name the name
	 * @return the pool
	 */
	public static Pool parse(String name) {
		String[] parts = name.split("/", 3);
		if (parts.length != 3) {
			throw new IllegalArgumentException("'" + name + "' is not a pool name");
		}
		return new Pool(DataCentreId.of(parts[0]), parts[1], PoolRole.valueOf(parts[2].toUpperCase(Locale.ROOT)));
	}

	@Override
	public int compareTo(Pool other) {
		return name().compareTo(other.name());
	}

}
