/**
 * Registry of running streams and the check of offsets in streamed responses.
 */
@NullMarked
package org.banyanstile.core.stream;

import org.jspecify.annotations.NullMarked;
