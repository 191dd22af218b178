/**
 * Choice of endpoints, cold-start detection and ramp, and attribution of endpoint
 * crashes.
 */
@NullMarked
package org.banyanstile.core.routing;

import org.jspecify.annotations.NullMarked;
