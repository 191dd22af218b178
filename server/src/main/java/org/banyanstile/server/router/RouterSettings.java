package org.banyanstile.server.router;

import java.time.Duration;

/**
 * Figures that the deployment gives to the router.
 *
 * @param vm name of this VM
 * @param dataCentre its data centre
 * @param retryRatio repeats that are allowed for each request to a service
 * @param retryExtra repeats of all VMs that are allowed besides
 * @param retryWindow sliding window of the retry budget
 * @param limitTolerance tokens by which a team may exceed its limit for a moment
 * @param shutdown time from the request to stop until the process is ended
 * @author banyanstile contributors
 */
public record RouterSettings(String vm, String dataCentre, double retryRatio, double retryExtra, Duration retryWindow,
		double limitTolerance, Duration shutdown) {

}
