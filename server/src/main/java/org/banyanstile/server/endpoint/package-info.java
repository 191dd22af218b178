/**
 * Clients for the protocols of engines and plain services.
 */
@NullMarked
package org.banyanstile.server.endpoint;

import org.jspecify.annotations.NullMarked;
