/**
 * Example programs that print the configuration of a deployment as JSON.
 */
@NullMarked
package org.banyanstile.examples;

import org.jspecify.annotations.NullMarked;
