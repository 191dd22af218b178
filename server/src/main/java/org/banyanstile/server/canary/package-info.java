/**
 * Rollouts of service versions on a VM: traffic split, evidence, stages and their writes.
 */
@NullMarked
package org.banyanstile.server.canary;

import org.jspecify.annotations.NullMarked;
