/**
 * HTTP server of the operator interface, and the service that stores and distributes the
 * configuration.
 */
@NullMarked
package org.banyanstile.server.operator;

import org.jspecify.annotations.NullMarked;
