package org.banyanstile.server.router;

import java.time.Duration;

import org.banyanstile.core.canary.ExposureBounds;

/**
 * Deployment settings of the router.
 *
 * @param vm name of this VM
 * @param dataCentre its data centre
 * @param retryRatio retries allowed for each request to a service
 * @param retryExtra retries of all VMs allowed in addition
 * @param retryWindow sliding window of the retry budget
 * @param limitTolerance tokens by which a team may temporarily exceed its limit
 * @param shutdown time from the request to stop until the process has to have exited
 * @param fleetAdmission whether one VM places the generations of the whole fleet, and
 * roles follow demand and speed
 * @param exposure bounds on the requests that a bad version of a service may get
 * @author banyanstile contributors
 */
public record RouterSettings(String vm, String dataCentre, double retryRatio, double retryExtra, Duration retryWindow,
		double limitTolerance, Duration shutdown, boolean fleetAdmission, ExposureBounds exposure) {

}
