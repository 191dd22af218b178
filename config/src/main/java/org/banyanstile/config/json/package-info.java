/**
 * Reading, validation and writing of the JSON documents.
 */
@NullMarked
package org.banyanstile.config.json;

import org.jspecify.annotations.NullMarked;
