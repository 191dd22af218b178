/**
 * What a VM knows of configuration and endpoints, and where it learns it.
 */
@NullMarked
package org.banyanstile.server.view;

import org.jspecify.annotations.NullMarked;
