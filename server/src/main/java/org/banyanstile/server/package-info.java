/**
 * Assembly of the daemon.
 */
@NullMarked
package org.banyanstile.server;

import org.jspecify.annotations.NullMarked;
