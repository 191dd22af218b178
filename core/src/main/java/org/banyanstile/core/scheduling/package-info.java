/**
 * Placement of generations on the engines of a service for the whole fleet. No I/O, no
 * clock.
 */
@NullMarked
package org.banyanstile.core.scheduling;

import org.jspecify.annotations.NullMarked;
