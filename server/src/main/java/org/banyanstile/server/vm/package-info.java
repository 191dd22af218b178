/**
 * Connections to the other VMs of the fleet.
 */
@NullMarked
package org.banyanstile.server.vm;

import org.jspecify.annotations.NullMarked;
