package org.banyanstile.server.caller;

/**
 * A stream that runs at an engine and whose connection to the caller has ended.
 *
 * @param requestId identifier under which the engine knows the request
 * @param slot the decode slot
 * @author banyanstile contributors
 */
record Handover(String requestId, SlotDecision.Granted slot) {

}
