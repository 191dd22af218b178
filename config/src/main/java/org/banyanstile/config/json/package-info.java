/**
 * Reading, checking and writing of the JSON forms.
 */
@NullMarked
package org.banyanstile.config.json;

import org.jspecify.annotations.NullMarked;
