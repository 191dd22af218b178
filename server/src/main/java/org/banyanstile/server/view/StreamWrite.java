package org.banyanstile.server.view;

import java.util.List;
import java.util.Map;

import org.banyanstile.core.stream.ServedVersion;
import org.banyanstile.core.stream.StreamOrigin;

/**
 * Rows that let a VM find out which software version began a stream.
 *
 * @param origins origins of streams by the attempt that began them
 * @param versions versions of the services that have had several
 * @param millis the current time in milliseconds of the store's clock
 * @param expired attempts whose origins are no longer needed
 * @author banyanstile contributors
 */
public record StreamWrite(Map<String, StreamOrigin> origins, List<ServedVersion> versions, long millis,
		List<String> expired) {

}
