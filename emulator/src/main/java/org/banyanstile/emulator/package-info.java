/**
 * Entry point of the stand-ins, the load tool and the process tests' support.
 */
@NullMarked
package org.banyanstile.emulator;

import org.jspecify.annotations.NullMarked;
