/**
 * Claims in the table service for calls that must run at most once.
 */
@NullMarked
package org.banyanstile.core.claim;

import org.jspecify.annotations.NullMarked;
