/**
 * Keys of teams and the token of operators: creation, hashing and checks.
 */
@NullMarked
package org.banyanstile.config.key;

import org.jspecify.annotations.NullMarked;
