/**
 * Cost of heartbeats and of the coordination loop as the fleet grows.
 */
@NullMarked
package org.banyanstile.benchmark.coordination;

import org.jspecify.annotations.NullMarked;
