/**
 * Versions of the configuration: storing one, applying it, and deciding when it is in
 * force everywhere.
 */
@NullMarked
package org.banyanstile.core.rollout;

import org.jspecify.annotations.NullMarked;
