/**
 * Error-budget counters in fixed windows.
 */
@NullMarked
package org.banyanstile.core.burn;

import org.jspecify.annotations.NullMarked;
