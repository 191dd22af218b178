package org.banyanstile.server.vm;

/**
 * A configuration version, sent to all VMs after it was committed, and the reply to
 * {@link ConfigFetch}.
 *
 * @param version the version
 * @param body the configuration as JSON text
 * @author banyanstile contributors
 */
public record ConfigPush(long version, String body) {

}
