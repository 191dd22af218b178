package org.banyanstile.core.limit;

/**
 * Request limit that an endpoint named in a response, as VMs report it to each other.
 *
 * @param endpoint id of the endpoint
 * @param perSecond requests a second that it takes from all VMs together,
 * {@link EndpointLimits#UNLIMITED} if it named no limit
 * @param ageMillis time since the response in milliseconds
 * @author banyanstile contributors
 */
public record LimitReport(String endpoint, double perSecond, long ageMillis) {

}
