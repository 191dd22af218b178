package org.banyanstile.server.router;

import org.banyanstile.core.catalog.RegisteredEndpoint;

/**
 * Memory that is reserved at a decode engine.
 *
 * @param engine the engine
 * @param reservation id of the reservation
 * @param tokens reserved tokens
 * @author banyanstile contributors
 */
record DecodePlace(RegisteredEndpoint engine, String reservation, long tokens) {

}
