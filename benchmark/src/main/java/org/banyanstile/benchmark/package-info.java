/**
 * Comparison of each decision with its naive version in virtual time, and cost slopes.
 */
@NullMarked
package org.banyanstile.benchmark;

import org.jspecify.annotations.NullMarked;
