/**
 * Selection of endpoints, admission order and role changes. No I/O, no clock.
 */
@NullMarked
package org.banyanstile.core.placement;

import org.jspecify.annotations.NullMarked;
