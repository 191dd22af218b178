/**
 * Driver of the quickstart.
 */
@NullMarked
package org.banyanstile.emulator.quickstart;

import org.jspecify.annotations.NullMarked;
