/**
 * Fleet-wide limits, slots and stream directory: the side of the requesting VM and the
 * side of the partition's owner.
 */
@NullMarked
package org.banyanstile.server.fleet;

import org.jspecify.annotations.NullMarked;
