package org.banyanstile.core.placement;

/**
 * Notice of an endpoint that it leaves, as VMs report it to each other.
 *
 * @param endpoint id of the endpoint
 * @param startMillis time of its start in milliseconds since 1970, 0 if not known
 * @param ageMillis time since the notice in milliseconds
 * @author banyanstile contributors
 */
public record LeavingReport(String endpoint, long startMillis, long ageMillis) {

}
