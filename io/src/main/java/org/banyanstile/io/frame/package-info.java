/**
 * Length-prefixed frames over TCP that carry MessagePack arrays.
 */
@NullMarked
package org.banyanstile.io.frame;

import org.jspecify.annotations.NullMarked;
