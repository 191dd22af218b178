/**
 * The operator binary, one class per command.
 */
@NullMarked
package org.banyanstile.tools;

import org.jspecify.annotations.NullMarked;
