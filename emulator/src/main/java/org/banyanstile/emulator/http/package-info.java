/**
 * JSON over HTTP for the stand-ins.
 */
@NullMarked
package org.banyanstile.emulator.http;

import org.jspecify.annotations.NullMarked;
