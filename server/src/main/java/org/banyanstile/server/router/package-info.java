/**
 * Request path of VMs whose endpoints register themselves with the platform.
 */
@NullMarked
package org.banyanstile.server.router;

import org.jspecify.annotations.NullMarked;
