/**
 * Routes, services, teams and engines of one version of the configuration.
 */
@NullMarked
package org.banyanstile.core.catalog;

import org.jspecify.annotations.NullMarked;
