/**
 * Routes, services, teams and engines as one version of the configuration names them.
 */
@NullMarked
package org.banyanstile.core.catalog;

import org.jspecify.annotations.NullMarked;
