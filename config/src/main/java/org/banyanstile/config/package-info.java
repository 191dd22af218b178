/**
 * Model of the fleet configuration and of the settings of a VM.
 */
@NullMarked
package org.banyanstile.config;

import org.jspecify.annotations.NullMarked;
