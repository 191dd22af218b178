package org.banyanstile.server.gossip;

/**
 * Recent work of an engine as measured by the sender.
 *
 * @param engine id of the engine
 * @param prefillTokens tokens of prompts
 * @param prefillMillis time of their prefill
 * @param events events of streams
 * @param eventMillis time of these events
 * @author banyanstile contributors
 */
public record GossipSpeed(String engine, long prefillTokens, long prefillMillis, long events, long eventMillis) {

}
