/**
 * Stand-in for a plain service.
 */
@NullMarked
package org.banyanstile.emulator.service;

import org.jspecify.annotations.NullMarked;
