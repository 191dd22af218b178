package org.banyanstile.core.catalog;

/**
 * One branch of a traffic split.
 *
 * @param service name of the service
 * @param weight relative share of the requests
 * @author banyanstile contributors
 */
public record WeightedService(String service, int weight) {

}
