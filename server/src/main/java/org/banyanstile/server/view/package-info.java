/**
 * This VM's copy of the configuration and the endpoints, and its reader of the store.
 */
@NullMarked
package org.banyanstile.server.view;

import org.jspecify.annotations.NullMarked;
