/**
 * Report on the use of error budget.
 */
@NullMarked
package org.banyanstile.tools.burn;

import org.jspecify.annotations.NullMarked;
