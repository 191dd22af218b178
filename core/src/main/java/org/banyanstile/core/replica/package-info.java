/**
 * Copies of the store's tables that VMs keep and exchange.
 */
@NullMarked
package org.banyanstile.core.replica;

import org.jspecify.annotations.NullMarked;
