/**
 * Load tool that verifies each answer.
 */
@NullMarked
package org.banyanstile.emulator.load;

import org.jspecify.annotations.NullMarked;
