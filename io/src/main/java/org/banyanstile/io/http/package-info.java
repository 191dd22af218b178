/**
 * Blocking HTTP client over Undertow's client.
 */
@NullMarked
package org.banyanstile.io.http;

import org.jspecify.annotations.NullMarked;
