package org.banyanstile.server.view;

import org.banyanstile.core.canary.RolloutOrder;
import org.banyanstile.core.catalog.Catalog;
import org.banyanstile.core.catalog.RegisteredEndpoint;
import org.jspecify.annotations.Nullable;

/**
 * Decodes rows of the platform's store.
 *
 * @author banyanstile contributors
 */
public interface RowDecoder {

	/**
	 * Returns whether a row of the operator's table holds the configuration.
	 * @param key key of the row
	 * @return whether it does
	 */
	boolean isCatalog(String key);

	/**
	 * Returns the data centre whose evacuation a row of the operator's table requests.
	 * @param key key of the row
	 * @return name of the data centre, or {@code null} if the row is of another kind
	 */
	@Nullable
	String evacuatedDataCentre(String key);

	/**
	 * Decodes the configuration.
	 * @param value content of the row
	 * @return the catalog
	 * @throws MalformedRowException if it cannot be decoded
	 */
	Catalog decodeCatalog(byte[] value) throws MalformedRowException;

	/**
	 * Returns whether a row of the operator's table requests a rollout.
	 * @param key key of the row
	 * @return whether it does, by default not
	 */
	default boolean isRollout(String key) {
		return false;
	}

	/**
	 * Decodes the request of a rollout.
	 * @param key key of the row
	 * @param version version of the row
	 * @param value content of the row
	 * @return the request
	 * @throws MalformedRowException if it cannot be decoded
	 */
	default RolloutOrder decodeRollout(String key, long version, byte[] value) throws MalformedRowException {
		throw new MalformedRowException("the row " + key + " requests no rollout", null);
	}

	/**
	 * Compares two values of a row by what their writer says of their age.
	 * @param table the table
	 * @param key key of the row
	 * @param one a value
	 * @param other another value of the row
	 * @return a negative number if the first one is older, a positive one if it is newer,
	 * 0 if that is not known
	 */
	default int compareAge(FleetTable table, String key, byte[] one, byte[] other) {
		return 0;
	}

	/**
	 * Decodes the entry of an endpoint.
	 * @param id id of the endpoint, the key of its row
	 * @param value content of the row
	 * @return the endpoint
	 * @throws MalformedRowException if it cannot be decoded
	 */
	RegisteredEndpoint decodeEndpoint(String id, byte[] value) throws MalformedRowException;

}
