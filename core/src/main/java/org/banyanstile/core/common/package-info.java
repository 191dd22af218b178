/**
 * Identifiers and the monotonic time source that the other packages use.
 */
@NullMarked
package org.banyanstile.core.common;

import org.jspecify.annotations.NullMarked;
