package org.banyanstile.core.stream;

import org.banyanstile.core.common.EndpointId;
import org.banyanstile.core.common.VmId;
import org.jspecify.annotations.Nullable;

/**
 * Running stream as the owner of its partition knows it.
 *
 * @param requestId the request at the engine
 * @param holder the serving VM
 * @param endpoint the decode endpoint, null before one is assigned
 * @author banyanstile contributors
 */
public record StreamInfo(String requestId, VmId holder, @Nullable EndpointId endpoint) {
}
