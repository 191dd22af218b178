package org.banyanstile.core.stream;

import org.banyanstile.core.common.EndpointId;
import org.banyanstile.core.common.VmId;
import org.jspecify.annotations.Nullable;

/**
 * Running stream as recorded by the owner of its partition.
 *
 * @param requestId the request at the engine
 * @param holder the serving VM
 * @param endpoint the decode endpoint, null before one is assigned
 * @author banyanstile contributors
 */
public record StreamInfo(String requestId, VmId holder, @Nullable EndpointId endpoint) {
}
