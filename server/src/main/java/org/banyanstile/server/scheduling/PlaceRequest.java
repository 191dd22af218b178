package org.banyanstile.server.scheduling;

import org.banyanstile.core.scheduling.GenerationRequest;

/**
 * Asks a scheduler to place a request, or renews an earlier message.
 *
 * @param group the group of engines
 * @param handover whether another VM scheduled the group for the sender before
 * @param request the request
 * @author banyanstile contributors
 */
record PlaceRequest(EngineGroup group, boolean handover, GenerationRequest request) {

}
