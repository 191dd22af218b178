package org.banyanstile.server.view;

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
	 * Decodes the entry of an endpoint.
	 * @param id id of the endpoint, the key of its row
	 * @param value content of the row
	 * @return the endpoint
	 * @throws MalformedRowException if it cannot be decoded
	 */
	RegisteredEndpoint decodeEndpoint(String id, byte[] value) throws MalformedRowException;

}
