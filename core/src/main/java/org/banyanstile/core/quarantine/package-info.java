/**
 * Refusal of requests that crash the endpoints that run them.
 */
@NullMarked
package org.banyanstile.core.quarantine;

import org.jspecify.annotations.NullMarked;
