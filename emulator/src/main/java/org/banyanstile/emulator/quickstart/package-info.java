/**
 * Driver that starts a small deployment as separate processes.
 */
@NullMarked
package org.banyanstile.emulator.quickstart;

import org.jspecify.annotations.NullMarked;
