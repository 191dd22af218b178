/**
 * Scheduling of generations for the whole fleet: datagrams between the VMs that serve
 * requests and the VM that places them.
 */
@NullMarked
package org.banyanstile.server.scheduling;

import org.jspecify.annotations.NullMarked;
