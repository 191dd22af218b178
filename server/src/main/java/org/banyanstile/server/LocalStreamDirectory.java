package org.banyanstile.server;

import org.banyanstile.server.caller.StreamDirectory;
import org.banyanstile.server.caller.StreamKey;
import org.banyanstile.server.caller.StreamLocation;
import org.banyanstile.server.caller.TakeoverResult;

/**
 * Directory for a fleet of one VM: no other VM serves a request.
 *
 * @author banyanstile contributors
 */
public final class LocalStreamDirectory implements StreamDirectory {

	/**
	 * Creates a directory.
	 * @return the directory
	 */
	public static LocalStreamDirectory create() {
		return new LocalStreamDirectory();
	}

	@Override
	public TakeoverResult takeOver(StreamKey key, String bodyHash) {
		return new TakeoverResult.NotRunning();
	}

	@Override
	public void announce(StreamKey key, StreamLocation location) {
		// This VM finds its own streams without the directory.
	}

	@Override
	public void withdraw(StreamKey key) {
		// Nothing was announced.
	}

}
