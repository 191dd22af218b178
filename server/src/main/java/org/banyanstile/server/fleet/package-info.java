/**
 * Fleet-wide team limits, endpoint slots, claims and stream directory, both for the VM
 * that sends requests and for the owner of a partition.
 */
@NullMarked
package org.banyanstile.server.fleet;

import org.jspecify.annotations.NullMarked;
