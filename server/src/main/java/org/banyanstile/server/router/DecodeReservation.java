package org.banyanstile.server.router;

import org.banyanstile.core.catalog.RegisteredEndpoint;

/**
 * Memory reserved at a decode engine.
 *
 * @param engine the engine
 * @param id id of the reservation
 * @param tokens reserved tokens
 * @author banyanstile contributors
 */
record DecodeReservation(RegisteredEndpoint engine, String id, long tokens) {

}
