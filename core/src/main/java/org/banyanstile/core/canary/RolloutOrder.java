package org.banyanstile.core.canary;

/**
 * Request of the operator to move the traffic of a service to another version.
 *
 * @param service name of the service
 * @param to the new version
 * @param deadlineMillis time in which a good version has to take all traffic
 * @param id number of the request, higher for a newer one
 * @author banyanstile contributors
 */
public record RolloutOrder(String service, String to, long deadlineMillis, long id) {

}
