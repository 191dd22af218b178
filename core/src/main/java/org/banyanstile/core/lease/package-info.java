/**
 * Leases of VM slots and partition ownership. The classes decide which rows of the table
 * service to read and write.
 */
@NullMarked
package org.banyanstile.core.lease;

import org.jspecify.annotations.NullMarked;
