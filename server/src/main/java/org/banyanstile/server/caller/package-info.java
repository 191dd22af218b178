/**
 * HTTP interface for callers, and the interfaces through which request handling uses the
 * coordination of the fleet.
 */
@NullMarked
package org.banyanstile.server.caller;

import org.jspecify.annotations.NullMarked;
