/**
 * Proof that an attempt to serve a request did not run.
 */
@NullMarked
package org.banyanstile.core.attempt;

import org.jspecify.annotations.NullMarked;
