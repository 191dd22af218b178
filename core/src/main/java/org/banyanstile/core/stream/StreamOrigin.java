package org.banyanstile.core.stream;

/**
 * Where a stream began. Only engines of the same software version can continue it.
 *
 * @param service name of the service
 * @param version software version of the engine
 * @author banyanstile contributors
 */
public record StreamOrigin(String service, String version) {

}
