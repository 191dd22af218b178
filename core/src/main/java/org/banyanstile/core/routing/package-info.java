/**
 * Endpoint choice, cold-start ramp and attribution of endpoint crashes.
 */
@NullMarked
package org.banyanstile.core.routing;

import org.jspecify.annotations.NullMarked;
