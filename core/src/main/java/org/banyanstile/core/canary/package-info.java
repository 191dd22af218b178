/**
 * Gradual move of a service's traffic to endpoints of a new version: stages, evidence and
 * verdict.
 */
@NullMarked
package org.banyanstile.core.canary;

import org.jspecify.annotations.NullMarked;
