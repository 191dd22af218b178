/**
 * Interface of the platform's transactional table service, as the decisions see it.
 */
@NullMarked
package org.banyanstile.core.store;

import org.jspecify.annotations.NullMarked;
