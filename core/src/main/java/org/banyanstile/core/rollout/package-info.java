/**
 * Versions of the configuration: storing them, applying them, and deciding when one is in
 * force on all VMs that serve.
 */
@NullMarked
package org.banyanstile.core.rollout;

import org.jspecify.annotations.NullMarked;
