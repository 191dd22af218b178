/**
 * Choice of endpoints, reservations and waiting order. No I/O, no clock.
 */
@NullMarked
package org.banyanstile.core.placement;

import org.jspecify.annotations.NullMarked;
