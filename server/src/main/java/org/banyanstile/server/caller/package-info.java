/**
 * Interface for callers, and the narrow interfaces through which a request uses the
 * coordination of the fleet.
 */
@NullMarked
package org.banyanstile.server.caller;

import org.jspecify.annotations.NullMarked;
