package org.banyanstile.server.caller;

import org.banyanstile.core.common.DataCentreId;
import org.banyanstile.server.endpoint.EngineClient;
import org.banyanstile.server.endpoint.ServiceClient;
import org.banyanstile.server.router.DecisionLog;

/**
 * Services that the request handlers use.
 *
 * @param dataCentre data centre that this VM is in
 * @param configuration the configuration in force
 * @param serving the serving check
 * @param limiter token rates and bursts of teams
 * @param slots endpoint slots
 * @param claims claims for calls that must run at most once
 * @param directory running requests with an idempotency key in the fleet
 * @param retries budget for retries
 * @param engine client for engines
 * @param service client for plain services
 * @param canceller cancels requests at engines
 * @param running running requests with an idempotency key on this VM
 * @param responses cache of complete responses
 * @param watch monitors running requests
 * @param metrics counters and timers
 * @param log log of decisions about requests
 * @author banyanstile contributors
 */
public record RequestServices(DataCentreId dataCentre, ConfigurationView configuration, ServingCheck serving,
		TeamLimiter limiter, SlotSource slots, ClaimService claims, StreamDirectory directory, RetryPermits retries,
		EngineClient engine, ServiceClient service, EngineCanceller canceller, RunningStreams running,
		ResponseCache responses, CallWatch watch, RequestMetrics metrics, DecisionLog log) {

}
