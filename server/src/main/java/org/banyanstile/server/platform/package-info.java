/**
 * Clients of the platform's table service and VM list, and the thread that keeps this
 * VM's slot and partitions.
 */
@NullMarked
package org.banyanstile.server.platform;

import org.jspecify.annotations.NullMarked;
