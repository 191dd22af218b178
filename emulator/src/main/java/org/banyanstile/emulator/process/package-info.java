/**
 * Starts a deployment as separate processes on loopback.
 */
@NullMarked
package org.banyanstile.emulator.process;

import org.jspecify.annotations.NullMarked;
