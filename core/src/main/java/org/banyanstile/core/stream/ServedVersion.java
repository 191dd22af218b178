package org.banyanstile.core.stream;

/**
 * Software version that has served in a service.
 *
 * @param service name of the service
 * @param version the version
 * @param ageMillis time since it last served, 0 if it does now
 * @author banyanstile contributors
 */
public record ServedVersion(String service, String version, long ageMillis) {

}
