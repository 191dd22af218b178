/**
 * Registry of running streams and the check of answer offsets.
 */
@NullMarked
package org.banyanstile.core.stream;

import org.jspecify.annotations.NullMarked;
