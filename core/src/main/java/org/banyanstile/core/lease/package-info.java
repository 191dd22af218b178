/**
 * Slot leases and partition ownership, as decisions about rows of the table service.
 */
@NullMarked
package org.banyanstile.core.lease;

import org.jspecify.annotations.NullMarked;
