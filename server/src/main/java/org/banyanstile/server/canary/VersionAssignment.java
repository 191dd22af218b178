package org.banyanstile.server.canary;

/**
 * Version of a service that serves a request while a rollout tries the new one. Assigned
 * once; a request that the new version does not serve falls back to the old one. Used by
 * the thread that serves the request.
 *
 * @author banyanstile contributors
 */
public final class VersionAssignment {

	private boolean isNew;

	private VersionAssignment(boolean isNew) {
		this.isNew = isNew;
	}

	static VersionAssignment of(boolean isNew) {
		return new VersionAssignment(isNew);
	}

	boolean isNew() {
		return this.isNew;
	}

	/**
	 * Assigns the request to the old version.
	 * @return whether it was assigned to the new one
	 */
	public boolean fallBack() {
		boolean changed = this.isNew;
		this.isNew = false;
		return changed;
	}

}
