/**
 * Copies of the store's tables that VMs keep and pass on to each other.
 */
@NullMarked
package org.banyanstile.core.replica;

import org.jspecify.annotations.NullMarked;
