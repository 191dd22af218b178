package org.banyanstile.server.caller;

/**
 * Identifies a stream at a decode engine, prepared or running, and the slot that it uses.
 *
 * @param requestId identifier under which the engine knows the request
 * @param slot the decode slot
 * @author banyanstile contributors
 */
record StreamHandle(String requestId, SlotDecision.Granted slot) {

}
