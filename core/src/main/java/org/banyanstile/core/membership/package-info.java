/**
 * Reports about the state of the other VMs and the store, and the decision whether this
 * VM may serve.
 */
@NullMarked
package org.banyanstile.core.membership;

import org.jspecify.annotations.NullMarked;
