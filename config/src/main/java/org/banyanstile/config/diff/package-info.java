/**
 * Difference of two versions of the configuration.
 */
@NullMarked
package org.banyanstile.config.diff;

import org.jspecify.annotations.NullMarked;
