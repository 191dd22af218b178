/**
 * Load tool that verifies each response.
 */
@NullMarked
package org.banyanstile.emulator.load;

import org.jspecify.annotations.NullMarked;
