/**
 * Stand-ins for the table service and the VM list.
 */
@NullMarked
package org.banyanstile.emulator.platform;

import org.jspecify.annotations.NullMarked;
