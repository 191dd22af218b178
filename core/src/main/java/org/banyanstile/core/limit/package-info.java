/**
 * Token buckets of teams, divided into grants by an owner and floors of the VM slots.
 */
@NullMarked
package org.banyanstile.core.limit;

import org.jspecify.annotations.NullMarked;
