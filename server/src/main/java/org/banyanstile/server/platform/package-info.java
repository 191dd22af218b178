/**
 * Clients of the platform's table service and VM list, and the loop that acquires and
 * renews this VM's slot and partitions.
 */
@NullMarked
package org.banyanstile.server.platform;

import org.jspecify.annotations.NullMarked;
