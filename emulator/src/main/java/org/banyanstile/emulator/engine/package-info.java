/**
 * Stand-in for a language-model engine.
 */
@NullMarked
package org.banyanstile.emulator.engine;

import org.jspecify.annotations.NullMarked;
