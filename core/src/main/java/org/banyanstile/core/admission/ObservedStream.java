package org.banyanstile.core.admission;

import org.banyanstile.core.common.VmId;

/**
 * Stream in the list of an engine.
 *
 * @param requestId the request
 * @param holder the VM that the engine names as holder
 * @author banyanstile contributors
 */
public record ObservedStream(String requestId, VmId holder) {
}
