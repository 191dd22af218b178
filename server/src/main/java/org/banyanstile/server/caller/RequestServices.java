package org.banyanstile.server.caller;

import org.banyanstile.core.common.DataCentreId;
import org.banyanstile.server.endpoint.EngineClient;
import org.banyanstile.server.endpoint.ServiceClient;

/**
 * What the handlers of requests use.
 *
 * @param dataCentre data centre that this VM is in
 * @param configuration the configuration in force
 * @param serving the serving check
 * @param limiter rates and bursts
 * @param slots slots of endpoints
 * @param claims once-only claims
 * @param directory running requests of the fleet
 * @param retries budget for retries
 * @param engine client for engines
 * @param service client for plain services
 * @param canceller cancels at engines
 * @param running running requests of this VM
 * @param answers finished answers
 * @param watch watch over running requests
 * @param metrics counters and timers
 * @author banyanstile contributors
 */
public record RequestServices(DataCentreId dataCentre, ConfigurationView configuration, ServingCheck serving,
		TeamLimiter limiter, SlotSource slots, ClaimService claims, StreamDirectory directory, RetryPermits retries,
		EngineClient engine, ServiceClient service, EngineCanceller canceller, RunningStreams running,
		AnswerMemory answers, CallWatch watch, RequestMetrics metrics) {

}
