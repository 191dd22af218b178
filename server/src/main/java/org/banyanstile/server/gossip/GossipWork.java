package org.banyanstile.server.gossip;

/**
 * Work that the sender has brought to the engines of a service since its start.
 *
 * @param service name of the service
 * @param prefillMillis time of engines that its prompts took
 * @param memoryTokenMillis memory that its generations needed, in tokens times
 * milliseconds
 * @author banyanstile contributors
 */
public record GossipWork(String service, long prefillMillis, long memoryTokenMillis) {

}
