/**
 * Messages of the operator interface, shared by the daemon and the operator binary.
 */
@NullMarked
package org.banyanstile.config.api;

import org.jspecify.annotations.NullMarked;
