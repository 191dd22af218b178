/**
 * Interface to the platform's transactional table service.
 */
@NullMarked
package org.banyanstile.core.store;

import org.jspecify.annotations.NullMarked;
